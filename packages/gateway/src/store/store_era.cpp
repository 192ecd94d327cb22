#include <buckthornvale/gateway/store/store_era.hpp>

namespace buckthornvale::gateway::store
{

era_order store_era::observe(std::optional<std::uint64_t> stated)
{
    if (!stated || stated == current_)
        return era_order::current;
    if (current_ && *stated < *current_)
        return era_order::former;
    bool const first = !current_;
    current_ = stated;
    return first ? era_order::current : era_order::risen;
}

} // namespace buckthornvale::gateway::store
