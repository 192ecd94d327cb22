#ifndef BUCKTHORNVALE_GATEWAY_GATEWAY_REQUEST_HPP
#define BUCKTHORNVALE_GATEWAY_GATEWAY_REQUEST_HPP

#include <buckthornvale/net/short_call.hpp>

namespace buckthornvale::gateway
{

//! A request that the gateway itself originates, as opposed to one that it
//! forwards for a caller.
struct gateway_request
{
    std::string method;
    std::string target;
    std::string body;
    std::string expected_runner; //!< empty for calls to the store or a VM
};

//! Sends the request with the headers that the platform requires.
net::call_id make_call(net::http_client& client, std::string const& address,
                       gateway_request call, net::call_options const& options,
                       net::call_done done);

} // namespace buckthornvale::gateway

#endif
