#include <buckthornvale/objects/objects/object_codec.hpp>

#include <targets/input.hpp>
#include <targets/targets.hpp>

namespace buckthornvale::fuzz
{

namespace
{

void parse(std::string_view kind, std::string_view body)
{
    if (kind == "get")
        objects::parse_stored_object(body);
    else if (kind == "put")
        objects::parse_written_version(body);
    else if (kind == "conflict")
        objects::parse_conflict(body, "settings/ranks");
    else if (kind == "list")
        objects::parse_page(body);
    else if (kind == "watch")
        objects::parse_changes(body);
    else if (kind == "vms")
        objects::parse_vms(body);
    else
        throw objects::malformed_response("unknown kind");
}

} // namespace

bool object_answer(std::string_view bytes)
{
    auto body = bytes;
    auto const kind = take_line(body);
    try
    {
        parse(kind, body);
        return true;
    }
    catch (objects::malformed_response const&)
    {
        // Callers of the store handle only this exception. Any other would
        // terminate their thread, so it is not caught here.
        return false;
    }
}

} // namespace buckthornvale::fuzz
