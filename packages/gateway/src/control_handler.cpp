#include "control_handler.hpp"

#include <buckthornvale/gateway/peer/peer_sender.hpp>
#include <buckthornvale/http/text.hpp>
#include <buckthornvale/platform/headers.hpp>

namespace buckthornvale::gateway
{

namespace
{

using namespace std::chrono_literals;

constexpr std::string_view metrics_path = "/metrics";

net::server_limits control_limits()
{
    net::server_limits out;
    out.max_body_bytes = 16'777'216;
    out.idle_timeout = 120s;
    return out;
}

std::string encode_head(int status, std::string_view type)
{
    std::string out;
    http::append_status_line(out, status);
    if (!type.empty())
        http::append_header(out, "Content-Type", type);
    return out;
}

} // namespace

control_handler::control_handler(asio::io_context& loop,
                                 net::clock_function const& clock,
                                 callback_set callbacks)
    : callbacks_(std::move(callbacks)),
      readiness_server_(loop, *this, control_limits, clock),
      peer_server_(loop, *this, control_limits, clock)
{
}

void control_handler::check_limits(decision::time_point now)
{
    readiness_server_.check_limits(now);
    peer_server_.check_limits(now);
}

void control_handler::on_request(net::server_connection& from,
                                 http::request_head& head, std::string& body)
{
    auto const path = head.path();
    if (path == platform::readiness_path)
        from.answer(encode_head(callbacks_.is_ready() ? 200 : 503, {}), {});
    else if (path == metrics_path)
        from.answer(encode_head(200, "text/plain; version=0.0.4"),
                    callbacks_.metrics_text());
    else if (path == peer::manifest_path)
    {
        auto const after = http::split_once(head.target, '=').second;
        auto const text =
            callbacks_.newer_manifest(http::parse_number(after).value_or(0));
        from.answer(encode_head(text.empty() ? 204 : 200, {}), text);
    }
    else if (path == peer::messages_path)
    {
        auto envelope = peer::decode_envelope(body);
        if (!envelope)
        {
            from.answer(encode_head(400, {}), {});
            return;
        }
        from.answer(encode_head(200, "application/cbor"),
                    callbacks_.receive_messages(std::move(*envelope)));
    }
    else
        from.answer(encode_head(404, {}), {});
}

} // namespace buckthornvale::gateway
