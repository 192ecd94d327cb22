#include "dial_backoff.hpp"

#include <algorithm>
#include <cstdint>

namespace buckthornvale::peer::detail
{

dial_backoff::dial_backoff(link_settings const& settings)
    : first_(settings.backoff_first), last_(settings.backoff_last),
      random_(settings.seed)
{
}

std::chrono::milliseconds dial_backoff::wait_after(int failures)
{
    constexpr int max_doublings = 10;
    auto const doublings = std::min(failures, max_doublings);
    auto const wait = std::min(first_ * (1 << doublings), last_);
    auto const half = static_cast<std::uint32_t>(wait.count() / 2 + 1);
    return wait / 2 + std::chrono::milliseconds(random_(half));
}

} // namespace buckthornvale::peer::detail
