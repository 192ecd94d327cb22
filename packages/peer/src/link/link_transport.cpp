#include "link_transport.hpp"

#include <buckthornvale/peer/codec/codec.hpp>

#include <utility>

namespace buckthornvale::peer::detail
{

link_transport::link_transport(asio::io_context& io,
                               transport_handlers handlers)
    : io_(io), handlers_(std::move(handlers))
{
}

template <class Endpoint>
void link_transport::set_handlers(Endpoint& endpoint, bool outgoing,
                                  link_settings const& settings)
{
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(&io_);
    endpoint.set_max_message_size(max_message_bytes);
    endpoint.set_open_handshake_timeout(settings.connect_timeout.count());
    endpoint.set_open_handler([this, outgoing](handle const& id)
                              { handlers_.opened(id, outgoing); });
    endpoint.set_close_handler([this](handle const& id)
                               { handlers_.ended(id, false); });
    endpoint.set_fail_handler(
        [this, &endpoint](handle const& id)
        {
            websocketpp::lib::error_code ec;
            auto const connection = endpoint.get_con_from_hdl(id, ec);
            bool const refused =
                connection &&
                connection->get_ec() == asio::error::connection_refused;
            handlers_.ended(id, refused);
        });
    endpoint.set_message_handler(
        [this](handle const& id, typename Endpoint::message_ptr const& value)
        { handlers_.received(id, value->get_payload()); });
}

absl::Status link_transport::listen(link_settings const& settings)
{
    asio::error_code parse_error;
    auto const address = asio::ip::make_address(settings.address, parse_error);
    if (parse_error)
        return absl::InvalidArgumentError("the peer address is no IP address");
    set_handlers(server_, false, settings);
    set_handlers(client_, true, settings);
    server_.set_reuse_addr(true);
    server_.set_validate_handler([this](handle const&)
                                 { return handlers_.has_room(); });
    websocketpp::lib::error_code ec;
    server_.listen(asio::ip::tcp::endpoint(address, settings.port), ec);
    if (ec)
        return absl::UnavailableError("the peer port cannot be listened on: " +
                                      ec.message());
    server_.start_accept(ec);
    asio::error_code local_error;
    port_ = server_.get_local_endpoint(local_error).port();
    if (ec || local_error)
        return absl::UnavailableError("the peer port accepts no connections");
    return absl::OkStatus();
}

void link_transport::stop_listening()
{
    websocketpp::lib::error_code ec;
    server_.stop_listening(ec);
}

client::connection_ptr link_transport::prepare(peer_address const& address)
{
    websocketpp::lib::error_code ec;
    auto const host = address.host.find(':') == std::string::npos
                          ? address.host
                          : "[" + address.host + "]";
    auto const uri =
        "ws://" + host + ":" + std::to_string(address.port) + "/peer";
    auto connection = client_.get_connection(uri, ec);
    return ec ? nullptr : connection;
}

void link_transport::connect(client::connection_ptr const& connection)
{
    client_.connect(connection);
}

bool link_transport::send(handle const& id, bool outgoing,
                          std::string const& bytes, std::size_t queue_bytes)
{
    websocketpp::lib::error_code ec;
    auto const send = [&](auto& endpoint)
    {
        auto const connection = endpoint.get_con_from_hdl(id, ec);
        if (ec)
            return false;
        auto const waiting = connection->get_buffered_amount();
        if (waiting + bytes.size() > queue_bytes)
            return false;
        ec = connection->send(bytes, websocketpp::frame::opcode::binary);
        return !ec;
    };
    return outgoing ? send(client_) : send(server_);
}

void link_transport::close(handle const& id, bool outgoing)
{
    websocketpp::lib::error_code ec;
    auto const code = websocketpp::close::status::going_away;
    if (outgoing)
        client_.close(id, code, "", ec);
    else
        server_.close(id, code, "", ec);
}

} // namespace buckthornvale::peer::detail
