#ifndef BUCKTHORNVALE_SERVING_UPSTREAM_RUNNER_REQUEST_HPP
#define BUCKTHORNVALE_SERVING_UPSTREAM_RUNNER_REQUEST_HPP

#include <buckthornvale/net/short_call.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace buckthornvale::serving::upstream
{

//! Head of a request with a JSON body to the runner at `address` ("IP:PORT").
//! It asks for the end of the connection after the answer.
std::string encode_runner_head(std::string_view method, std::string_view path,
                               std::string_view address,
                               std::size_t body_bytes);

//! A small exchange with a runner beside its calls; `body` is JSON or empty.
net::short_request runner_request(std::string_view method,
                                  std::string_view path,
                                  std::string_view address, std::string body);

//! Options of a call with a connection of its own: on a kept one, a connection
//! that the runner closed meanwhile cannot be told from a request that was
//! lost while it ran.
net::call_options own_connection(net::duration timeout);

} // namespace buckthornvale::serving::upstream

#endif
