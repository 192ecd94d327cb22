#ifndef BUCKTHORNVALE_SERVING_HTTP_FRONT_TARGET_HPP
#define BUCKTHORNVALE_SERVING_HTTP_FRONT_TARGET_HPP

#include <string>
#include <string_view>

namespace buckthornvale::serving::http
{

//! What the front serves.
enum class front_endpoint
{
    unknown,
    request,
    outcome,
    health,
    readiness,
    metrics,
    status,
    drain
};

//! A method and path that were looked up.
struct front_target
{
    front_endpoint endpoint = front_endpoint::unknown;
    std::string name; //!< pipeline or idempotency key in the path, decoded
};

front_target find_target(std::string_view method, std::string_view path);

} // namespace buckthornvale::serving::http

#endif
