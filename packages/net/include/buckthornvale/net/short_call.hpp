#ifndef BUCKTHORNVALE_NET_SHORT_CALL_HPP
#define BUCKTHORNVALE_NET_SHORT_CALL_HPP

#include <buckthornvale/net/http_client.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace buckthornvale::net
{

//! End of a call whose answer is read whole.
struct call_result
{
    std::optional<call_failure> failure; //!< empty when an answer came
    http::response_head head;
    std::string body;
};

using call_done = std::function<void(call_result const&)>;

//! A request with its head encoded, and the bound on its answer.
struct short_request
{
    std::string head; //!< ends with the empty line
    std::string body;
    std::size_t max_answer_bytes = std::size_t{64} * 1024 * 1024;
};

//! Makes a call whose answer is short. `done` is called once, unless the call
//! is cancelled or the client ends before. An answer above the bound counts as
//! broken off.
call_id make_call(http_client& client, std::string const& address,
                  short_request request, call_options const& options,
                  call_done done);

} // namespace buckthornvale::net

#endif
