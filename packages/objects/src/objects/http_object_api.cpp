#include <buckthornvale/http/text.hpp>
#include <buckthornvale/objects/objects/http_object_api.hpp>
#include <buckthornvale/objects/objects/object_codec.hpp>

#include <httplib.h>

namespace buckthornvale::objects
{

namespace
{

// Time allowed for the response to a watch beyond its timeout.
constexpr auto watch_response_margin = std::chrono::seconds(5);

struct call_outcome
{
    call_status status;
    std::string detail;
};

call_status status_from_http(int http_status)
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
    // Other 4xx mean that the request was rejected; after a 5xx it is unknown
    // whether it took effect.
    constexpr int first_server_error = 500;
    return http_status >= 400 && http_status < first_server_error
               ? call_status::rejected
               : call_status::unknown;
}

call_outcome classify_result(httplib::Result const& result)
{
    if (result)
    {
        return {status_from_http(result->status),
                "HTTP status " + std::to_string(result->status)};
    }
    // Only a failure to connect proves that nothing was sent.
    auto const error = result.error();
    bool const is_not_sent = error == httplib::Error::Connection ||
                             error == httplib::Error::ConnectionTimeout;
    return {is_not_sent ? call_status::not_sent : call_status::unknown,
            "HTTP request failed: " + httplib::to_string(error)};
}

template <class Value>
read_result<Value> to_read_result(httplib::Result const& result,
                                  Value (*parse)(std::string_view))
{
    auto [status, detail] = classify_result(result);
    read_result<Value> value{status, {}, std::move(detail)};
    if (status != call_status::done)
        return value;
    try
    {
        value.value = parse(result->body);
    }
    catch (malformed_response const& error)
    {
        value.status = call_status::unknown;
        value.detail = error.what();
    }
    return value;
}

write_result to_write_result(httplib::Result const& result,
                             std::string const& path)
{
    auto [status, detail] = classify_result(result);
    write_result value{status, 0, std::nullopt, std::move(detail)};
    try
    {
        if (status == call_status::done)
            value.version = parse_written_version(result->body);
        else if (status == call_status::conflict)
            value.current = parse_conflict(result->body, path);
    }
    catch (malformed_response const& error)
    {
        value.status = call_status::unknown;
        value.detail = error.what();
    }
    return value;
}

//! Escapes the parts of the path. Slashes separate them in the route, too.
std::string object_route(std::string const& path)
{
    std::string out = "/v1/objects";
    for (auto const it : http::split(path, '/'))
        out += "/" + http::percent_encoded(it);
    return out;
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
http_object_api::make_client(decision::duration read_timeout) const
{
    auto client = std::make_unique<httplib::Client>("http://" + address_);
    client->set_connection_timeout(limits_.connect);
    client->set_read_timeout(read_timeout);
    client->set_write_timeout(limits_.write);
    client->set_tcp_nodelay(true);
    return client;
}

read_result<object> http_object_api::get(std::string const& path)
{
    auto const client = make_client(limits_.read);
    return to_read_result(client->Get(object_route(path)),
                          &parse_stored_object);
}

write_result http_object_api::put(std::string const& path,
                                  std::uint64_t expected,
                                  std::string const& value)
{
    auto const client = make_client(limits_.read);
    return to_write_result(client->Put(object_route(path), if_match(expected),
                                       value, "application/octet-stream"),
                           path);
}

write_result http_object_api::remove(std::string const& path,
                                     std::uint64_t expected)
{
    auto const client = make_client(limits_.read);
    return to_write_result(
        client->Delete(object_route(path), if_match(expected)), path);
}

read_result<object_page> http_object_api::list(std::string const& prefix,
                                               std::string const& after,
                                               std::size_t limit)
{
    httplib::Params const params = {
        {"prefix", prefix}, {"after", after}, {"limit", std::to_string(limit)}};
    auto const client = make_client(limits_.read);
    auto page = to_read_result(
        client->Get("/v1/list", params, httplib::Headers{}), &parse_page);
    // Paths are ordered, so a list that goes back would have no end.
    if (page.is_done() && page.value.next && *page.value.next <= after)
    {
        page.status = call_status::unknown;
        page.detail = "malformed response: 'next' is not after 'after'";
    }
    return page;
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
    auto const client = make_client(timeout + watch_response_margin);
    {
        std::lock_guard const lock(mutex_);
        watch_clients_.insert(client.get());
    }
    auto const result = client->Get("/v1/watch", params, httplib::Headers{});
    {
        std::lock_guard const lock(mutex_);
        watch_clients_.erase(client.get());
    }
    return to_read_result(result, &parse_changes);
}

read_result<std::vector<platform_vm>> http_object_api::vms()
{
    auto const client = make_client(limits_.read);
    return to_read_result(client->Get("/v1/vms"), &parse_vms);
}

void http_object_api::cancel_watches()
{
    std::lock_guard const lock(mutex_);
    for (auto* it : watch_clients_)
        it->stop();
}

} // namespace buckthornvale::objects
