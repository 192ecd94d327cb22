#ifndef BUCKTHORNVALE_GATEWAY_NET_SIMPLE_CALL_HPP
#define BUCKTHORNVALE_GATEWAY_NET_SIMPLE_CALL_HPP

#include <buckthornvale/gateway/net/http_client.hpp>

#include <functional>
#include <optional>
#include <string>

namespace buckthornvale::gateway::net
{

//! A call that the product makes on its own account.
struct own_call
{
    std::string method;
    std::string target;
    std::string body;
    std::string expected_runner; //!< empty for calls to no runner
};

//! End of a call whose answer is read whole.
struct call_result
{
    std::optional<call_failure> failure; //!< empty when an answer came
    http::response_head head;
    std::string body;
};

using call_done = std::function<void(call_result const&)>;

//! Makes a call whose answer is short. `done` is called once, unless the call
//! is cancelled or the client ends before.
call_id make_call(http_client& client, std::string const& address,
                  own_call call, call_options const& options, call_done done);

} // namespace buckthornvale::gateway::net

#endif
