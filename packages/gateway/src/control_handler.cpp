#include "control_handler.hpp"

#include <buckthornvale/gateway/peer/peer_sender.hpp>
#include <buckthornvale/http/text.hpp>
#include <buckthornvale/platform/headers.hpp>

#include <algorithm>

namespace buckthornvale::gateway
{

namespace
{

using namespace std::chrono_literals;

constexpr std::string_view metrics_path = "/metrics";

constexpr std::size_t max_message_bytes = 16'777'216;

net::server_limits control_limits(client_share const& share,
                                  std::size_t max_body_bytes)
{
    net::server_limits out;
    out.max_body_bytes = std::min(max_body_bytes, share.memory_bytes / 2);
    out.body_copies = 0;
    out.idle_timeout = 120s;
    out.max_connections = share.connections;
    out.replace_connections = true;
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
                                 client_shares const& shares,
                                 callback_set callbacks)
    : callbacks_(std::move(callbacks)),
      readiness_server_(
          loop, *this,
          [share = shares.readiness] { return control_limits(share, 0); },
          clock,
          std::make_shared<net::memory_budget>(shares.readiness.memory_bytes)),
      peer_server_(
          loop, *this,
          [share = shares.peers]
          { return control_limits(share, max_message_bytes); },
          clock,
          std::make_shared<net::memory_budget>(shares.peers.memory_bytes))
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
