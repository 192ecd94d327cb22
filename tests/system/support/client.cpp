#include "support/client.hpp"

#include "support/await.hpp"

#include <httplib.h>

namespace buckthornvale::tests
{

namespace
{

httplib::Headers const authorization_header = {
    {"Authorization", "Bearer grinders-demo-key"}};

httplib::Client make_client(std::string const& address)
{
    httplib::Client client("http://" + address);
    client.set_connection_timeout(hang_timeout);
    client.set_read_timeout(hang_timeout);
    client.set_write_timeout(hang_timeout);
    return client;
}

reply to_reply(httplib::Result const& result)
{
    if (!result)
        return {0, result.error() == httplib::Error::Connection, {}};
    return {result->status, false, json::parse(result->body, nullptr, false)};
}

json with_defaults(json body)
{
    json request_body = {{"organisation", "grinders"},
                         {"rank", "standard"},
                         {"deadline_ms", 5000}};
    request_body.update(body);
    return request_body;
}

std::string requests_path(std::string const& pipeline)
{
    return "/v1/pipelines/" + pipeline + "/requests";
}

// Removes the complete server-sent events from the front of the text.
std::vector<std::pair<std::string, json>> extract_events(std::string& text)
{
    std::vector<std::pair<std::string, json>> events;
    for (auto separator = text.find("\n\n"); separator != std::string::npos;
         separator = text.find("\n\n"))
    {
        auto const block = text.substr(0, separator);
        text.erase(0, separator + 2);
        auto const data = block.find("\ndata: ");
        if (block.rfind("event: ", 0) == 0 && data != std::string::npos)
            events.emplace_back(block.substr(7, data - 7),
                                json::parse(block.substr(data + 7)));
    }
    return events;
}

} // namespace

std::string reply::text(char const* member) const
{
    return body.is_object() ? body.value(member, "") : "";
}

std::string reply::error_kind() const
{
    if (!body.is_object() || !body.contains("error"))
        return "";
    return body["error"].value("kind", "");
}

std::string stream_reply::text() const
{
    std::string joined;
    for (auto const& [name, data] : events)
        joined += name == "token" ? data.at("text").get<std::string>() : "";
    return joined;
}

json stream_reply::end_event() const
{
    if (events.empty() || events.back().first != "end")
        return nullptr;
    return events.back().second;
}

reply get(std::string const& address, std::string const& path)
{
    return to_reply(make_client(address).Get(path));
}

reply post(std::string const& address, std::string const& path,
           json const& body)
{
    return to_reply(
        make_client(address).Post(path, body.dump(), "application/json"));
}

reply put_object(std::string const& platform, std::string const& path,
                 std::uint64_t version, std::string const& value)
{
    return to_reply(make_client(platform).Put(
        "/v1/objects/" + path, {{"If-Match", std::to_string(version)}}, value,
        "application/toml"));
}

reply send_request(std::string const& vm, std::string const& pipeline,
                   json const& body)
{
    return to_reply(
        make_client(vm).Post(requests_path(pipeline), authorization_header,
                             with_defaults(body).dump(), "application/json"));
}

stream_reply send_streaming_request(
    std::string const& vm, std::string const& pipeline, json body,
    std::function<bool(std::string const&)> const& should_stop)
{
    stream_reply collected;
    std::string buffer;
    body["stream"] = true;
    httplib::Request request;
    request.method = "POST";
    request.path = requests_path(pipeline);
    request.headers = authorization_header;
    request.set_header("Content-Type", "application/json");
    request.body = with_defaults(body).dump();
    request.content_receiver =
        [&](char const* data, std::size_t size, std::uint64_t, std::uint64_t)
    {
        buffer.append(data, size);
        for (auto& it : extract_events(buffer))
        {
            collected.events.push_back(it);
            if (should_stop && should_stop(it.first))
                return false;
        }
        return true;
    };
    auto client = make_client(vm);
    auto const result = client.send(request);
    collected.status = result ? result->status : 0;
    collected.connect_failed =
        !result && result.error() == httplib::Error::Connection;
    return collected;
}

reply get_outcome(std::string const& vm, std::string const& key,
                  std::int64_t issued_at_ms)
{
    return to_reply(make_client(vm).Get(
        "/v1/outcomes/" + key + "?organisation=grinders&issued_at_ms=" +
            std::to_string(issued_at_ms),
        authorization_header));
}

} // namespace buckthornvale::tests
