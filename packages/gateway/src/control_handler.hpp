#ifndef BUCKTHORNVALE_GATEWAY_CONTROL_HANDLER_HPP
#define BUCKTHORNVALE_GATEWAY_CONTROL_HANDLER_HPP

#include "client_shares.hpp"
#include <buckthornvale/gateway/peer/peer_codec.hpp>
#include <buckthornvale/net/http_server.hpp>

#include <asio/io_context.hpp>

#include <functional>
#include <string>

namespace buckthornvale::gateway
{

//! Serves readiness probes of the platform, metrics scrapes, and messages and
//! manifest requests of other VMs.
class control_handler final : public net::request_handler
{
public:
    struct callback_set
    {
        std::function<bool()> is_ready;
        std::function<std::string()> metrics_text;

        //! Returns the encoded manifest if its version is greater than `after`,
        //! otherwise an empty string.
        std::function<std::string(std::uint64_t after)> newer_manifest;

        //! Processes the envelope of another VM and returns the encoded reply.
        std::function<std::string(peer::envelope)> receive_messages;

        //! A client was ended for others; it held this number of bytes.
        std::function<void(std::size_t bytes)> connection_ended;
    };

    control_handler(asio::io_context& loop, net::clock_function const& clock,
                    client_shares const& shares, callback_set callbacks);

    net::http_server& readiness() { return readiness_server_; }
    net::http_server& peers() { return peer_server_; }

    void check_limits(decision::time_point now);

    // net::request_handler
    void on_request(net::server_connection& from, http::request_head& head,
                    std::string& body) override;
    void on_caller_left(net::server_connection&) override {}
    void on_drained(net::server_connection&) override {}
    void on_ended_for_others(net::server_connection&,
                             std::size_t bytes) override
    {
        callbacks_.connection_ended(bytes);
    }

private:
    callback_set callbacks_;
    net::http_server readiness_server_;
    net::http_server peer_server_;
};

} // namespace buckthornvale::gateway

#endif
