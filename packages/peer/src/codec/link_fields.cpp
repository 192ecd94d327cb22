#include "link_fields.hpp"

namespace buckthornvale::peer::detail
{

using nlohmann::json;

json fields_of(hello const& value)
{
    return {{"t", "hello"}, {"vm", value.vm.value}, {"inc", value.incarnation}};
}

void read(field_reader& in, hello& value)
{
    in.number("vm", value.vm.value);
    in.number("inc", value.incarnation);
}

json fields_of(ping const& value)
{
    return {{"t", "ping"}, {"to", value.target.value}, {"n", value.sequence}};
}

void read(field_reader& in, ping& value)
{
    in.number("to", value.target.value);
    in.number("n", value.sequence);
}

json fields_of(ack const& value)
{
    return {{"t", "ack"}, {"to", value.target.value}, {"n", value.sequence}};
}

void read(field_reader& in, ack& value)
{
    in.number("to", value.target.value);
    in.number("n", value.sequence);
}

json fields_of(goodbye const&)
{
    return {{"t", "goodbye"}};
}

void read(field_reader&, goodbye&) {}

} // namespace buckthornvale::peer::detail
