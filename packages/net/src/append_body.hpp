#ifndef BUCKTHORNVALE_NET_APPEND_BODY_HPP
#define BUCKTHORNVALE_NET_APPEND_BODY_HPP

#include <cstddef>
#include <string>
#include <string_view>

namespace buckthornvale::net
{

//! Appends like `std::string::append`, which doubles the memory; takes half as
//! much again as needed, and no more than the final size. `max_bytes` is the
//! final size, or its limit.
void append_body(std::string& body, std::string_view bytes,
                 std::size_t max_bytes);

} // namespace buckthornvale::net

#endif
