#include "support/client.hpp"

#include "support/await.hpp"

#include <httplib.h>

namespace buckthornvale::tests
{

namespace
{

httplib::Headers const key_header = {
    {"Authorization", "Bearer grinders-demo-key"}};

httplib::Client client_of(std::string const& address)
{
    httplib::Client client("http://" + address);
    client.set_connection_timeout(hang_limit);
    client.set_read_timeout(hang_limit);
    client.set_write_timeout(hang_limit);
    return client;
}

reply reply_of(httplib::Result const& result)
{
    if (!result)
        return {0, result.error() == httplib::Error::Connection, {}};
    return {result->status, false, json::parse(result->body, nullptr, false)};
}

json filled(json body)
{
    json whole = {{"organisation", "grinders"},
                  {"rank", "standard"},
                  {"deadline_ms", 5000}};
    whole.update(body);
    return whole;
}

std::string requests_path(std::string const& pipeline)
{
    return "/v1/pipelines/" + pipeline + "/requests";
}

// Takes whole events off the front of the text.
std::vector<std::pair<std::string, json>> take_events(std::string& text)
{
    std::vector<std::pair<std::string, json>> events;
    for (auto at = text.find("\n\n"); at != std::string::npos;
         at = text.find("\n\n"))
    {
        auto const block = text.substr(0, at);
        text.erase(0, at + 2);
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
    std::string all;
    for (auto const& [name, data] : events)
        all += name == "token" ? data.at("text").get<std::string>() : "";
    return all;
}

json stream_reply::end() const
{
    if (events.empty() || events.back().first != "end")
        return nullptr;
    return events.back().second;
}

reply get(std::string const& address, std::string const& path)
{
    return reply_of(client_of(address).Get(path));
}

reply post(std::string const& address, std::string const& path,
           json const& body)
{
    return reply_of(
        client_of(address).Post(path, body.dump(), "application/json"));
}

reply put_object(std::string const& platform, std::string const& path,
                 std::uint64_t version, std::string const& value)
{
    return reply_of(client_of(platform).Put(
        "/v1/objects/" + path, {{"If-Match", std::to_string(version)}}, value,
        "application/toml"));
}

reply send_request(std::string const& vm, std::string const& pipeline,
                   json const& body)
{
    return reply_of(client_of(vm).Post(requests_path(pipeline), key_header,
                                       filled(body).dump(),
                                       "application/json"));
}

stream_reply send_streamed(std::string const& vm, std::string const& pipeline,
                           json body,
                           std::function<bool(std::string const&)> const& stop)
{
    stream_reply whole;
    std::string rest;
    body["stream"] = true;
    httplib::Request request;
    request.method = "POST";
    request.path = requests_path(pipeline);
    request.headers = key_header;
    request.set_header("Content-Type", "application/json");
    request.body = filled(body).dump();
    request.content_receiver =
        [&](char const* data, std::size_t size, std::uint64_t, std::uint64_t)
    {
        rest.append(data, size);
        for (auto& it : take_events(rest))
        {
            whole.events.push_back(it);
            if (stop && stop(it.first))
                return false;
        }
        return true;
    };
    auto client = client_of(vm);
    auto const result = client.send(request);
    whole.status = result ? result->status : 0;
    whole.refused = !result && result.error() == httplib::Error::Connection;
    return whole;
}

reply ask_outcome(std::string const& vm, std::string const& key,
                  std::int64_t issued_at_ms)
{
    return reply_of(client_of(vm).Get(
        "/v1/outcomes/" + key + "?organisation=grinders&issued_at_ms=" +
            std::to_string(issued_at_ms),
        key_header));
}

} // namespace buckthornvale::tests
