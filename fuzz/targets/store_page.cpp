#include <buckthornvale/platform/store_codec.hpp>

#include <targets/input.hpp>
#include <targets/targets.hpp>

namespace buckthornvale::fuzz
{

namespace
{

bool is_manifest(platform::stored_object const& object)
{
    auto const value = platform::decode_manifest(object);
    if (value == nullptr)
        return false;
    require(value->limits.max_body_bytes > 0,
            "a manifest allows a non-empty body");
    return true;
}

bool is_runner(platform::stored_object const& object)
{
    auto const value = platform::decode_runner(object);
    if (!value)
        return false;
    require(!value->service.empty() && !value->address.empty(),
            "a runner has a service and an address");
    return true;
}

bool is_member(platform::stored_object const& object)
{
    auto const value = platform::decode_member(object);
    if (!value)
        return false;
    require(!value->name.empty() && !value->address.empty(),
            "a member has a name and an address");
    return true;
}

//! Checks whether an object is of `kind`.
struct object_check
{
    std::string_view kind;
    bool (*run)(platform::stored_object const& object);
};

constexpr object_check checks[] = {
    {"manifest", is_manifest}, {"runners", is_runner}, {"members", is_member}};

bool is_of_kind(std::string_view kind, platform::stored_object const& object)
{
    bool matches = false;
    for (auto const& it : checks)
        matches = (it.run(object) && it.kind == kind) || matches;
    return matches;
}

} // namespace

bool store_page(std::string_view bytes)
{
    auto const kind = take_line(bytes);
    auto const request_kind = take_line(bytes);
    auto const page = request_kind == "list" ? platform::decode_list(bytes)
                                             : platform::decode_changes(bytes);
    if (!page.ok() || page->objects.empty())
        return false;
    bool all_valid = true;
    for (auto const& it : page->objects)
    {
        all_valid = (it.deleted || is_of_kind(kind, it)) && all_valid;
        auto const encoded = platform::encode_object(it);
        auto const redecoded = platform::decode_object(encoded);
        require(redecoded && redecoded->name == it.name &&
                    redecoded->revision == it.revision,
                "encoding an object keeps its name and revision");
    }
    return all_valid;
}

} // namespace buckthornvale::fuzz
