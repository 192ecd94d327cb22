#include <buckthornvale/decision/gateway/wait_profile.hpp>

#include <algorithm>

namespace buckthornvale::decision::gateway
{

duration wait_profile::at(duration due_in) const
{
    auto const found =
        std::lower_bound(due_times.begin(), due_times.end(), due_in);
    return found == due_times.end()
               ? waits.back()
               : waits[std::size_t(found - due_times.begin())];
}

} // namespace buckthornvale::decision::gateway
