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

std::string head_of(int status, std::string_view type)
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
      readiness_(loop, *this, control_limits, clock),
      peers_(loop, *this, control_limits, clock)
{
}

void control_handler::check_limits(decision::time_point now)
{
    readiness_.check_limits(now);
    peers_.check_limits(now);
}

void control_handler::on_request(net::server_connection& from,
                                 http::request_head& head, std::string& body)
{
    auto const path = head.path();
    if (path == platform::readiness_path)
        from.answer(head_of(callbacks_.ready() ? 200 : 503, {}), {});
    else if (path == metrics_path)
        from.answer(head_of(200, "text/plain; version=0.0.4"),
                    callbacks_.metrics());
    else if (path == peer::manifest_path)
    {
        auto const after = http::split_once(head.target, '=').second;
        auto const text =
            callbacks_.manifest(http::parse_number(after).value_or(0));
        from.answer(head_of(text.empty() ? 204 : 200, {}), text);
    }
    else if (path == peer::messages_path)
    {
        auto envelope = peer::decode_envelope(body);
        if (!envelope)
        {
            from.answer(head_of(400, {}), {});
            return;
        }
        from.answer(head_of(200, "application/cbor"),
                    callbacks_.messages(std::move(*envelope)));
    }
    else
        from.answer(head_of(404, {}), {});
}

} // namespace buckthornvale::gateway
