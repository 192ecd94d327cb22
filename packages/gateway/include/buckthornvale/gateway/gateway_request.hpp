#ifndef BUCKTHORNVALE_GATEWAY_GATEWAY_REQUEST_HPP
#define BUCKTHORNVALE_GATEWAY_GATEWAY_REQUEST_HPP

#include <buckthornvale/net/short_call.hpp>

#include <cstddef>
#include <string>

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
    //! A larger answer fails the call.
    std::size_t max_answer_bytes = 4'194'304;
};

//! Sends the request with the headers that the platform requires.
net::call_id make_call(net::http_client& client, std::string const& address,
                       gateway_request call, net::call_options const& options,
                       net::call_done done);

} // namespace buckthornvale::gateway

#endif
