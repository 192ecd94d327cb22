#include <buckthornvale/objects/objects/object_codec.hpp>

#include <nlohmann/json.hpp>

namespace buckthornvale::objects
{

namespace
{

using nlohmann::json;

// Checks the type because nlohmann-json silently converts negative numbers and
// fractions, which would yield a wrong version.
std::uint64_t parse_unsigned_member(json const& value, char const* name)
{
    auto const& number = value.at(name);
    if (!number.is_number_unsigned())
        throw malformed_response(std::string("malformed response: '") + name +
                                 "' is not an unsigned 64-bit integer");
    return number.get<std::uint64_t>();
}

bool is_delete_event(json const& event)
{
    auto const& kind = event.at("kind").get_ref<std::string const&>();
    if (kind != "put" && kind != "delete")
        throw malformed_response("malformed response: unknown event kind");
    return kind == "delete";
}

object object_from(json const& value)
{
    return {value.at("path").get<std::string>(),
            parse_unsigned_member(value, "version"),
            value.at("value").get<std::string>()};
}

object_page page_from(json const& value)
{
    object_page page;
    page.revision = parse_unsigned_member(value, "revision");
    if (value.contains("next"))
        page.next = value["next"].get<std::string>();
    for (auto const& it : value.at("items"))
        page.items.push_back(object_from(it));
    return page;
}

object_changes changes_from(json const& value)
{
    object_changes changes;
    changes.revision = parse_unsigned_member(value, "revision");
    for (auto const& it : value.at("events"))
    {
        object_event event;
        event.is_delete = is_delete_event(it);
        event.changed.path = it.at("path").get<std::string>();
        event.changed.version = parse_unsigned_member(it, "version");
        if (!event.is_delete)
            event.changed.value = it.at("value").get<std::string>();
        changes.events.push_back(std::move(event));
    }
    return changes;
}

std::vector<platform_vm> vms_from(json const& value)
{
    std::vector<platform_vm> vms;
    for (auto const& it : value.at("vms"))
    {
        platform_vm vm;
        vm.id = it.at("id").get<std::string>();
        vm.role = it.value("role", "entry") == "runner" ? vm_role::runner
                                                        : vm_role::entry;
        vm.address = it.value("address", "");
        vm.peer_address = it.value("peer_address", "");
        vm.failure_domain = it.value("failure_domain", "");
        vm.is_leaving = it.value("state", "live") == "leaving";
        vms.push_back(std::move(vm));
    }
    return vms;
}

template <class Value>
Value parse_body(std::string_view body, Value (*convert)(json const&))
{
    try
    {
        return convert(json::parse(body));
    }
    catch (json::exception const& error)
    {
        throw malformed_response(std::string("malformed response: ") +
                                 error.what());
    }
}

std::uint64_t version_from(json const& value)
{
    return parse_unsigned_member(value, "version");
}

// The caller sets the path, which is not part of this body.
std::optional<object> conflict_from(json const& value)
{
    auto const version = version_from(value);
    if (version == 0)
        return std::nullopt;
    return object{"", version, value.at("value").get<std::string>()};
}

} // namespace

object parse_stored_object(std::string_view body)
{
    return parse_body(body, &object_from);
}

object_page parse_page(std::string_view body)
{
    return parse_body(body, &page_from);
}

object_changes parse_changes(std::string_view body)
{
    return parse_body(body, &changes_from);
}

std::vector<platform_vm> parse_vms(std::string_view body)
{
    return parse_body(body, &vms_from);
}

std::uint64_t parse_written_version(std::string_view body)
{
    return parse_body(body, &version_from);
}

std::optional<object> parse_conflict(std::string_view body,
                                     std::string const& path)
{
    auto current = parse_body(body, &conflict_from);
    if (current)
        current->path = path;
    return current;
}

} // namespace buckthornvale::objects
