#include <buckthornvale/http/message.hpp>
#include <buckthornvale/serving/upstream/runner_request.hpp>

namespace buckthornvale::serving::upstream
{

std::string encode_runner_head(std::string_view method, std::string_view path,
                               std::string_view address, std::size_t body_bytes)
{
    namespace http = buckthornvale::http;
    http::request_head_writer out(method, path);
    out.add("Host", address);
    out.add("Accept-Encoding", "identity");
    out.add("Connection", "close");
    if (body_bytes > 0)
    {
        out.add("Content-Type", "application/json");
        out.add("Content-Length", std::to_string(body_bytes));
    }
    return out.finish();
}

net::short_request runner_request(std::string_view method,
                                  std::string_view path,
                                  std::string_view address, std::string body)
{
    net::short_request out;
    out.head = encode_runner_head(method, path, address, body.size());
    out.body = std::move(body);
    out.max_answer_bytes = std::size_t{1024} * 1024;
    return out;
}

net::call_options own_connection(net::duration timeout)
{
    net::call_options out;
    out.connect_timeout = timeout;
    out.timeout = timeout;
    out.keep_connection = false;
    return out;
}

} // namespace buckthornvale::serving::upstream
