#ifndef BUCKTHORNVALE_NET_APPEND_BODY_HPP
#define BUCKTHORNVALE_NET_APPEND_BODY_HPP

#include <cstddef>
#include <string>
#include <string_view>

namespace buckthornvale::net
{

//! Appends the bytes. Grows the capacity by a half, where `std::string::append`
//! would double it, and not beyond `max_bytes`: the final size of the body or
//! its limit.
void append_body(std::string& body, std::string_view bytes,
                 std::size_t max_bytes);

} // namespace buckthornvale::net

#endif
