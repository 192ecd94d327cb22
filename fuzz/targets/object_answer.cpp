#include <buckthornvale/platform/objects/object_codec.hpp>

#include <targets/input.hpp>
#include <targets/targets.hpp>

namespace buckthornvale::fuzz
{

namespace
{

void parse(std::string_view kind, std::string_view body)
{
    if (kind == "get")
        platform::parse_stored_object(body);
    else if (kind == "put")
        platform::parse_written_version(body);
    else if (kind == "conflict")
        platform::parse_conflict(body, "settings/ranks");
    else if (kind == "list")
        platform::parse_page(body);
    else if (kind == "watch")
        platform::parse_changes(body);
    else if (kind == "vms")
        platform::parse_vms(body);
    else
        throw platform::malformed_response("unknown kind");
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
    catch (platform::malformed_response const&)
    {
        // Any other exception would end the thread that called the store.
        return false;
    }
}

} // namespace buckthornvale::fuzz
