#include "append_body.hpp"

#include <algorithm>

namespace buckthornvale::net
{

namespace
{

//! First capacity of a body, unless its final size is smaller.
constexpr std::size_t first_body_bytes = 32'768;

} // namespace

void append_body(std::string& body, std::string_view bytes,
                 std::size_t max_bytes)
{
    auto const needed = body.size() + bytes.size();
    if (needed > body.capacity())
    {
        std::string grown;
        auto const wanted = std::max(needed + needed / 2, first_body_bytes);
        grown.reserve(std::max(needed, std::min(wanted, max_bytes)));
        grown.append(body);
        body.swap(grown);
    }
    body.append(bytes);
}

} // namespace buckthornvale::net
