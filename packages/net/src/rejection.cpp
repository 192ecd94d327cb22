#include <buckthornvale/net/http_server.hpp>

namespace buckthornvale::net
{

namespace
{

//! A client that is refused for lack of memory may return after this time, when
//! others that waited have been ended.
constexpr char const* retry_after_s = "1";

} // namespace

rejection_answer default_rejection(rejection reason)
{
    switch (reason)
    {
    case rejection::malformed:
        break;
    case rejection::header_too_large:
        return {431, {}, {}};
    case rejection::body_too_large:
        return {413, {}, {}};
    case rejection::header_too_slow:
    case rejection::body_too_slow:
        return {408, {}, {}};
    case rejection::too_many_connections:
    case rejection::out_of_memory:
        return {503, {}, {}, retry_after_s};
    }
    return {400, {}, {}};
}

} // namespace buckthornvale::net
