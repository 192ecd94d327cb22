#ifndef BUCKTHORNVALE_PEER_SRC_LINK_ENDPOINT_HPP
#define BUCKTHORNVALE_PEER_SRC_LINK_ENDPOINT_HPP

#include <asio.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace buckthornvale::peer::detail
{

using server = websocketpp::server<websocketpp::config::asio>;
using client = websocketpp::client<websocketpp::config::asio_client>;

} // namespace buckthornvale::peer::detail

#endif
