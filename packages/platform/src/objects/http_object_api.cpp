#include <buckthornvale/platform/objects/http_object_api.hpp>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace buckthornvale::platform
{

namespace
{

using nlohmann::json;

// A watch's response may be this much later than its timeout.
constexpr auto watch_margin = std::chrono::seconds(5);

struct classified
{
    call_status status;
    std::string detail;
};

call_status status_of(int http_status)
{
    switch (http_status)
    {
    case 200:
        return call_status::done;
    case 404:
        return call_status::not_found;
    case 410:
        return call_status::compacted;
    case 412:
        return call_status::conflict;
    case 429:
    case 503:
        return call_status::unavailable;
    default:
        break;
    }
    // Other 4xx are refusals; of a 5xx the effect is not known.
    constexpr int first_server_error = 500;
    return http_status >= 400 && http_status < first_server_error
               ? call_status::rejected
               : call_status::unknown;
}

classified classify(httplib::Result const& result)
{
    if (result)
    {
        return {status_of(result->status),
                "HTTP status " + std::to_string(result->status)};
    }
    // Only a connection that was never made proves that nothing was sent.
    auto const error = result.error();
    bool const is_not_sent = error == httplib::Error::Connection ||
                             error == httplib::Error::ConnectionTimeout;
    return {is_not_sent ? call_status::not_sent : call_status::unknown,
            "connection: " + httplib::to_string(error)};
}

object object_from(json const& value)
{
    return {value.at("path").get<std::string>(),
            value.at("version").get<std::uint64_t>(),
            value.at("value").get<std::string>()};
}

object_page page_from(json const& value)
{
    object_page page;
    page.revision = value.at("revision").get<std::uint64_t>();
    if (value.contains("next"))
        page.next = value["next"].get<std::string>();
    for (auto const& it : value.at("items"))
        page.items.push_back(object_from(it));
    return page;
}

object_changes changes_from(json const& value)
{
    object_changes changes;
    changes.revision = value.at("revision").get<std::uint64_t>();
    for (auto const& it : value.at("events"))
    {
        object_event event;
        event.is_delete = it.at("kind").get<std::string>() == "delete";
        event.changed.path = it.at("path").get<std::string>();
        event.changed.version = it.at("version").get<std::uint64_t>();
        event.changed.value = it.value("value", "");
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
read_result<Value> read_from(httplib::Result const& result,
                             Value (*parse)(json const&))
{
    auto [status, detail] = classify(result);
    read_result<Value> value{status, {}, std::move(detail)};
    if (status != call_status::done)
        return value;
    try
    {
        value.value = parse(json::parse(result->body));
    }
    catch (json::exception const& error)
    {
        value.status = call_status::unknown;
        value.detail = std::string("malformed response: ") + error.what();
    }
    return value;
}

write_result write_from(httplib::Result const& result, std::string const& path)
{
    auto [status, detail] = classify(result);
    write_result value{status, 0, std::nullopt, std::move(detail)};
    if (status != call_status::done && status != call_status::conflict)
        return value;
    try
    {
        auto const body = json::parse(result->body);
        auto const version = body.at("version").get<std::uint64_t>();
        if (status == call_status::done)
            value.version = version;
        else if (version != 0)
            value.current =
                object{path, version, body.at("value").get<std::string>()};
    }
    catch (json::exception const& error)
    {
        value.status = call_status::unknown;
        value.detail = std::string("malformed response: ") + error.what();
    }
    return value;
}

std::string object_route(std::string const& path)
{
    return "/v1/objects/" + path;
}

httplib::Headers if_match(std::uint64_t expected)
{
    return {{"If-Match", std::to_string(expected)}};
}

} // namespace

http_object_api::http_object_api(std::string address, http_limits limits)
    : address_(std::move(address)), limits_(limits)
{
}

http_object_api::~http_object_api() = default;

std::unique_ptr<httplib::Client>
http_object_api::connect(decision::duration read_limit) const
{
    auto client = std::make_unique<httplib::Client>("http://" + address_);
    client->set_connection_timeout(limits_.connect);
    client->set_read_timeout(read_limit);
    client->set_write_timeout(limits_.write);
    client->set_tcp_nodelay(true);
    return client;
}

read_result<object> http_object_api::get(std::string const& path)
{
    auto const client = connect(limits_.read);
    return read_from(client->Get(object_route(path)), &object_from);
}

write_result http_object_api::put(std::string const& path,
                                  std::uint64_t expected,
                                  std::string const& value)
{
    auto const client = connect(limits_.read);
    return write_from(client->Put(object_route(path), if_match(expected), value,
                                  "application/octet-stream"),
                      path);
}

write_result http_object_api::remove(std::string const& path,
                                     std::uint64_t expected)
{
    auto const client = connect(limits_.read);
    return write_from(client->Delete(object_route(path), if_match(expected)),
                      path);
}

read_result<object_page> http_object_api::list(std::string const& prefix,
                                               std::string const& after,
                                               std::size_t limit)
{
    httplib::Params const params = {
        {"prefix", prefix}, {"after", after}, {"limit", std::to_string(limit)}};
    auto const client = connect(limits_.read);
    return read_from(client->Get("/v1/list", params, httplib::Headers{}),
                     &page_from);
}

read_result<object_changes> http_object_api::watch(std::string const& prefix,
                                                   std::uint64_t from,
                                                   decision::duration timeout)
{
    auto const timeout_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
    httplib::Params const params = {{"prefix", prefix},
                                    {"from", std::to_string(from)},
                                    {"timeout_ms", std::to_string(timeout_ms)}};
    auto const client = connect(timeout + watch_margin);
    {
        std::lock_guard const lock(mutex_);
        watching_.insert(client.get());
    }
    auto const result = client->Get("/v1/watch", params, httplib::Headers{});
    {
        std::lock_guard const lock(mutex_);
        watching_.erase(client.get());
    }
    return read_from(result, &changes_from);
}

read_result<std::vector<platform_vm>> http_object_api::vms()
{
    auto const client = connect(limits_.read);
    return read_from(client->Get("/v1/vms"), &vms_from);
}

void http_object_api::cancel_watches()
{
    std::lock_guard const lock(mutex_);
    for (auto* it : watching_)
        it->stop();
}

} // namespace buckthornvale::platform
