#include <buckthornvale/decision/gateway/crash_registry.hpp>

namespace buckthornvale::decision::gateway
{

void crash_registry::record_crash(std::uint64_t fingerprint, time_point now)
{
    if (entries_.size() >= max_entries)
        expire(now);
    if (entries_.size() >= max_entries)
        entries_.erase(entries_.begin());
    auto& it = entries_[fingerprint];
    if (now - it.last_crash > entry_lifetime)
        it.crashes = 0;
    ++it.crashes;
    it.last_crash = now;
}

bool crash_registry::clear(std::uint64_t fingerprint)
{
    return entries_.erase(fingerprint) > 0;
}

bool crash_registry::is_blocked(std::uint64_t fingerprint, time_point now) const
{
    auto const found = entries_.find(fingerprint);
    return found != entries_.end() && found->second.crashes >= crash_limit &&
           now - found->second.last_crash <= entry_lifetime;
}

void crash_registry::expire(time_point now)
{
    absl::erase_if(entries_, [&](auto const& it)
                   { return now - it.second.last_crash > entry_lifetime; });
}

} // namespace buckthornvale::decision::gateway
