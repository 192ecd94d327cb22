#ifndef BUCKTHORNVALE_GATEWAY_NET_SIMPLE_CALL_HPP
#define BUCKTHORNVALE_GATEWAY_NET_SIMPLE_CALL_HPP

#include <buckthornvale/gateway/net/http_client.hpp>

#include <functional>
#include <optional>
#include <string>

namespace buckthornvale::gateway::net
{

//! End of a call whose answer is read whole.
struct call_result
{
    std::optional<call_failure> failure; //!< empty when an answer came
    http::response_head head;
    std::string body;
};

using call_done = std::function<void(call_result const&)>;

//! Makes a call whose answer is short. `done` is called once, unless the
//! client ends before.
void make_call(http_client& client, std::string const& address,
               std::string head, std::string body, call_options const& options,
               call_done done);

} // namespace buckthornvale::gateway::net

#endif
