#include <buckthornvale/serving/upstream/bounded_fetch.hpp>

#include <httplib.h>

namespace buckthornvale::serving::upstream
{

std::optional<fetched> bounded_fetch(fetch_query const& query)
{
    using steady = std::chrono::steady_clock;
    auto const deadline = steady::now() + query.timeout;
    httplib::Client client(query.host, query.port);
    client.set_connection_timeout(query.timeout);
    client.set_read_timeout(query.timeout);
    client.set_write_timeout(query.timeout);
    client.set_decompress(false);

    fetched value;
    httplib::Request request;
    request.method = query.method;
    request.path = query.path;
    request.body = query.body;
    request.set_header("Content-Type", "application/json");
    request.set_header("Accept-Encoding", "identity");
    request.content_receiver =
        [&](char const* data, std::size_t size, std::uint64_t, std::uint64_t)
    {
        value.body.append(data, size);
        return value.body.size() <= query.max_bytes &&
               steady::now() <= deadline;
    };
    httplib::Response response;
    auto error = httplib::Error::Success;
    if (!client.send(request, response, error))
        return std::nullopt;
    value.status = response.status;
    return value;
}

} // namespace buckthornvale::serving::upstream
