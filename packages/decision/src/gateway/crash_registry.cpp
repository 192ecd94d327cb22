#include <buckthornvale/decision/gateway/crash_registry.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace buckthornvale::decision::gateway
{

crash_registry::entry& crash_registry::find_or_add(std::uint64_t fingerprint)
{
    if (entries_.size() >= max_entries && !entries_.contains(fingerprint))
    {
        auto const least = std::min_element(
            entries_.begin(), entries_.end(),
            [](auto const& a, auto const& b)
            {
                return std::tie(a.second.crashes, a.second.last_crash) <
                       std::tie(b.second.crashes, b.second.last_crash);
            });
        entries_.erase(least);
    }
    return entries_[fingerprint];
}

void crash_registry::record_crash(std::uint64_t fingerprint, time_point now)
{
    auto& it = find_or_add(fingerprint);
    ++it.crashes;
    it.last_crash = it.learned_at = now;
    changed_ = true;
}

void crash_registry::record_own_crash(std::uint64_t fingerprint, time_point now)
{
    record_crash(fingerprint, now);
    entries_[fingerprint].own = true;
}

bool crash_registry::clear(std::uint64_t fingerprint, time_point now)
{
    auto const found = entries_.find(fingerprint);
    if (found == entries_.end())
        return false;
    found->second.cleared_at = now;
    changed_ = true;
    found->second.own = false;
    return std::exchange(found->second.crashes, 0) > 0;
}

std::uint32_t crash_registry::crashes_of(std::uint64_t fingerprint) const
{
    auto const found = entries_.find(fingerprint);
    return found == entries_.end() ? 0 : found->second.crashes;
}

bool crash_registry::is_blocked(std::uint64_t fingerprint) const
{
    return crashes_of(fingerprint) >= crash_limit;
}

bool crash_registry::begin_retrial(std::uint64_t fingerprint, time_point now)
{
    auto const crashes = crashes_of(fingerprint);
    if (crashes < crash_limit || crashes >= final_crash_limit)
        return false;
    auto& it = entries_[fingerprint];
    if (now - it.learned_at < retrial_time)
        return false;
    it.learned_at = now;
    return true;
}

std::vector<crash_record> crash_registry::repeated_crashes(duration max_age,
                                                           time_point now) const
{
    std::vector<crash_record> out;
    for (auto const& it : entries_)
        if (it.second.is_repeated() && now - it.second.last_crash <= max_age)
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
    auto& it = find_or_add(record.fingerprint);
    if (it.cleared_at != time_point() && last_crash <= it.cleared_at)
        return false;
    // A new entry has no last crash; the age may reach behind the start.
    it.last_crash =
        it.crashes == 0 ? last_crash : std::max(it.last_crash, last_crash);
    if (it.crashes < record.crashes)
    {
        it.crashes = record.crashes;
        it.learned_at = now;
        changed_ = true;
    }
    return true;
}

void crash_registry::restore(absl::Span<stored_crashes const> records, bool own,
                             time_point now)
{
    for (auto const& it : records)
        if (merge({it.fingerprint, it.crashes, stored_crash_age}, now) && own)
            entries_[it.fingerprint].own = true;
    changed_ = true;
}

std::vector<stored_crashes> crash_registry::to_store() const
{
    std::vector<std::pair<std::uint64_t, entry>> chosen;
    for (auto const& it : entries_)
        if (it.second.own && it.second.is_repeated())
            chosen.emplace_back(it);
    if (chosen.size() > max_stored_records)
    {
        std::nth_element(
            chosen.begin(), chosen.begin() + max_stored_records, chosen.end(),
            [](auto const& a, auto const& b)
            {
                return std::tie(a.second.crashes, a.second.last_crash) >
                       std::tie(b.second.crashes, b.second.last_crash);
            });
        chosen.resize(max_stored_records);
    }
    std::vector<stored_crashes> out;
    out.reserve(chosen.size());
    for (auto const& it : chosen)
        out.push_back({it.first, it.second.crashes});
    std::sort(out.begin(), out.end(),
              [](stored_crashes const& a, stored_crashes const& b)
              { return a.fingerprint < b.fingerprint; });
    return out;
}

void crash_registry::expire(time_point now)
{
    absl::erase_if(entries_,
                   [&](auto const& it)
                   {
                       return it.second.crashes == 0 &&
                              now - it.second.cleared_at > cleared_lifetime;
                   });
}

} // namespace buckthornvale::decision::gateway
