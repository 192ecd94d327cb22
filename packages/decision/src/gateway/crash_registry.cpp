#include <buckthornvale/decision/gateway/crash_registry.hpp>

#include <algorithm>
#include <utility>

namespace buckthornvale::decision::gateway
{

crash_registry::entry& crash_registry::find_or_add(std::uint64_t fingerprint,
                                                   time_point now)
{
    if (entries_.size() >= max_entries && !entries_.contains(fingerprint))
    {
        expire(now);
        if (entries_.size() >= max_entries)
            entries_.erase(entries_.begin());
    }
    auto& it = entries_[fingerprint];
    if (it.expired(now))
        it = {};
    return it;
}

void crash_registry::record_crash(std::uint64_t fingerprint, time_point now)
{
    auto& it = find_or_add(fingerprint, now);
    ++it.crashes;
    it.last_crash = now;
}

bool crash_registry::clear(std::uint64_t fingerprint, time_point now)
{
    auto const found = entries_.find(fingerprint);
    if (found == entries_.end())
        return false;
    found->second.cleared_at = now;
    return std::exchange(found->second.crashes, 0) > 0;
}

bool crash_registry::is_blocked(std::uint64_t fingerprint, time_point now) const
{
    auto const found = entries_.find(fingerprint);
    return found != entries_.end() && found->second.crashes >= crash_limit &&
           !found->second.expired(now);
}

std::vector<crash_record> crash_registry::repeated_crashes(time_point now) const
{
    std::vector<crash_record> out;
    for (auto const& it : entries_)
        if (it.second.crashes >= min_shared_crashes && !it.second.expired(now))
            out.push_back(
                {it.first, it.second.crashes, now - it.second.last_crash});
    if (out.size() <= max_shared_records)
        return out;
    // Blocked content matters most.
    std::nth_element(out.begin(), out.begin() + max_shared_records, out.end(),
                     [](crash_record const& a, crash_record const& b)
                     { return a.crashes > b.crashes; });
    out.resize(max_shared_records);
    return out;
}

bool crash_registry::merge(crash_record const& record, time_point now)
{
    auto const last_crash = now - record.last_crash_age;
    if (record.last_crash_age > entry_lifetime)
        return true;
    auto& it = find_or_add(record.fingerprint, now);
    if (it.cleared_at != time_point() && last_crash <= it.cleared_at)
        return false;
    it.crashes = std::max(it.crashes, record.crashes);
    it.last_crash = std::max(it.last_crash, last_crash);
    return true;
}

void crash_registry::expire(time_point now)
{
    absl::erase_if(entries_,
                   [&](auto const& it) { return it.second.expired(now); });
}

} // namespace buckthornvale::decision::gateway
