#ifndef BUCKTHORNVALE_NET_SHORT_CALL_HPP
#define BUCKTHORNVALE_NET_SHORT_CALL_HPP

#include <buckthornvale/net/http_client.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace buckthornvale::net
{

//! Result of a call whose response is buffered as a whole.
struct call_result
{
    std::optional<call_failure> failure; //!< nullopt on success
    http::response_head head;            //!< also if the body was too large
    std::string body;
    bool too_large = false; //!< the cause of the failure; the head is there
    //! Of the connection that carried the call; never empty.
    std::shared_ptr<answer_history> history;
};

using call_done = std::function<void(call_result const&)>;

//! Request with an encoded head, and the size limit of its response.
struct short_request
{
    std::string head; //!< ends with the empty line
    std::string body;
    std::size_t max_answer_bytes = std::size_t{64} * 1024 * 1024;
};

//! Makes a call and buffers its response. `done` is called once, unless the
//! call is cancelled or the client is destroyed first. A response body larger
//! than max_answer_bytes fails the call with call_failure::broken_off, at its
//! beginning if the response states its length.
call_id make_call(http_client& client, std::string const& address,
                  short_request request, call_options const& options,
                  call_done done);

} // namespace buckthornvale::net

#endif
