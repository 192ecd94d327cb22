#ifndef BUCKTHORNVALE_SERVING_UPSTREAM_BOUNDED_FETCH_HPP
#define BUCKTHORNVALE_SERVING_UPSTREAM_BOUNDED_FETCH_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace buckthornvale::serving::upstream
{

//! A small exchange with a runner beside its calls.
struct fetch_query
{
    std::string host;
    std::uint16_t port = 0;
    std::string method = "GET";
    std::string path;
    std::string body; //!< JSON; empty: none
    std::chrono::milliseconds timeout{1000};
    std::size_t max_bytes = std::size_t{1024} * 1024;
};

struct fetched
{
    int status = 0;
    std::string body;
};

//! Blocks for at most about twice the timeout; nothing without a whole answer
//! within the bounds.
std::optional<fetched> bounded_fetch(fetch_query const& query);

} // namespace buckthornvale::serving::upstream

#endif
