#include "settings_fields.hpp"

#include "binary.hpp"
#include <buckthornvale/peer/codec/codec.hpp>

#include <cstddef>
#include <utility>

namespace buckthornvale::peer::detail
{

using nlohmann::json;
namespace config = decision::config;

namespace
{

constexpr std::size_t max_value_bytes = 1'048'576;

} // namespace

json fields_of(config::revision_announcement const& value)
{
    return {
        {"t", "settings_have"}, {"rev", value.revision}, {"c", value.complete}};
}

void read(field_reader& in, config::revision_announcement& value)
{
    in.number("rev", value.revision);
    in.boolean("c", value.complete);
}

json fields_of(config::settings_pull const& value)
{
    return {{"t", "settings_pull"}, {"from", value.from}, {"base", value.base}};
}

void read(field_reader& in, config::settings_pull& value)
{
    in.number("from", value.from);
    in.number("base", value.base);
}

json fields_of(config::settings_push const& value)
{
    json objects = json::array();
    for (auto const& it : value.objects)
    {
        objects.push_back({{"p", it.path},
                           {"n", it.version},
                           {"del", it.deleted},
                           {"val", binary_of(it.value)}});
    }
    return {{"t", "settings_push"}, {"from", value.from},
            {"to", value.up_to},    {"rev", value.revision},
            {"re", value.restart},  {"objs", std::move(objects)}};
}

void read(field_reader& in, config::settings_push& value)
{
    in.number("from", value.from);
    in.number("to", value.up_to);
    in.number("rev", value.revision);
    in.boolean("re", value.restart);
    auto const* list = in.array("objs", max_push_objects);
    if (list == nullptr)
        return;
    for (auto const& it : *list)
    {
        field_reader entry(it);
        config::settings_object object;
        entry.text("p", object.path, max_path_bytes);
        entry.number("n", object.version);
        entry.boolean("del", object.deleted);
        entry.binary("val", object.value, max_value_bytes);
        in.check(entry);
        if (object.path.empty() || object.version == 0)
            in.fail("objs");
        value.objects.push_back(std::move(object));
    }
    if (value.up_to < value.from)
        in.fail("to");
}

} // namespace buckthornvale::peer::detail
