#ifndef BUCKTHORNVALE_GATEWAY_GATEWAY_REQUEST_HPP
#define BUCKTHORNVALE_GATEWAY_GATEWAY_REQUEST_HPP

#include <buckthornvale/net/short_call.hpp>

namespace buckthornvale::gateway
{

//! A call that the product makes on its own account.
struct gateway_request
{
    std::string method;
    std::string target;
    std::string body;
    std::string expected_runner; //!< empty for calls to no runner
};

//! Makes the call with the headers of the platform.
net::call_id make_call(net::http_client& client, std::string const& address,
                       gateway_request call, net::call_options const& options,
                       net::call_done done);

} // namespace buckthornvale::gateway

#endif
