#include <buckthornvale/gateway/transfer_time.hpp>

#include <algorithm>

namespace buckthornvale::gateway
{

namespace
{

using namespace std::chrono_literals;

constexpr double bytes_per_mbit = 1e6 / 8;

//! As long as a store that does not begin to answer is waited for.
constexpr net::duration max_silence = 1s;

//! What a transfer gets of the link at least, beside all others on it.
constexpr double min_link_share = 1.0 / 32;

//! Links of others may be slower than that of this VM.
constexpr double max_required_bytes_per_s = 65'536;

double link_bytes_per_s(platform::node_settings const& settings)
{
    return settings.link_mbps * bytes_per_mbit;
}

} // namespace

net::transfer_pace transfer_pace_of(platform::node_settings const& settings)
{
    // A link of no rate at all would make each transfer overdue.
    auto const required =
        std::max(link_bytes_per_s(settings) * min_link_share, 1.0);
    return {max_silence, std::min(required, max_required_bytes_per_s)};
}

net::duration transfer_time(std::size_t bytes,
                            platform::node_settings const& settings)
{
    auto const rate = link_bytes_per_s(settings);
    return rate > 0 ? decision::from_seconds(double(bytes) / rate)
                    : net::duration();
}

} // namespace buckthornvale::gateway
