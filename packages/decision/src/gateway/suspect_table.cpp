#include <buckthornvale/decision/gateway/suspect_table.hpp>

#include <algorithm>
#include <utility>

namespace buckthornvale::decision::gateway
{

bool suspect_table::is_answered_since(crash_suspect const& suspect,
                                      time_point at) const
{
    for (auto const* map : {&answered_, &answered_before_})
    {
        auto const found = map->find(suspect);
        if (found != map->end() && found->second >= at)
            return true;
    }
    return false;
}

suspect_table::entry* suspect_table::find_or_add(crash_suspect const& suspect,
                                                 time_point now)
{
    if (entries_.size() >= max_entries && !entries_.contains(suspect))
    {
        expire(now);
        // A verdict must not be lost for accusations.
        auto const accused =
            std::find_if(entries_.begin(), entries_.end(),
                         [](auto const& it) { return !it.second.blocked; });
        if (entries_.size() >= max_entries && accused == entries_.end())
            return nullptr;
        if (entries_.size() >= max_entries)
            entries_.erase(accused);
    }
    return &entries_[suspect];
}

bool suspect_table::accuse(crash_verdict const& verdict, time_point now)
{
    auto const first_crash = now - verdict.first_crash_age;
    if (is_answered_since(verdict.suspect, first_crash))
        return true;
    auto* it = find_or_add(verdict.suspect, now);
    if (it != nullptr && !it->blocked)
        *it = {false, first_crash, now - verdict.last_crash_age};
    return false;
}

bool suspect_table::block(crash_verdict const& verdict, time_point now)
{
    if (accuse(verdict, now))
        return true;
    if (auto* it = find_or_add(verdict.suspect, now))
    {
        it->blocked = true;
        it->last_crash = std::max(it->last_crash, now - verdict.last_crash_age);
    }
    return false;
}

std::vector<crash_suspect>
suspect_table::record_answered(absl::Span<crash_suspect const> suspects,
                               time_point now)
{
    if (answered_.size() >= min_answered)
        answered_before_ = std::exchange(answered_, {});
    std::vector<crash_suspect> out;
    for (auto const& it : suspects)
    {
        answered_[it] = now;
        if (entries_.erase(it) > 0)
            out.push_back(it);
    }
    return out;
}

bool suspect_table::is_blocked(crash_suspect const& suspect) const
{
    auto const found = entries_.find(suspect);
    return found != entries_.end() && found->second.blocked;
}

std::optional<crash_suspect>
suspect_table::find_blocked(absl::Span<crash_suspect const> suspects) const
{
    if (entries_.empty())
        return std::nullopt;
    for (auto const& it : suspects)
        if (is_blocked(it))
            return it;
    return std::nullopt;
}

std::vector<crash_suspect> suspect_table::blocked() const
{
    std::vector<crash_suspect> out;
    for (auto const& it : entries_)
        if (it.second.blocked)
            out.push_back(it.first);
    return out;
}

std::vector<crash_verdict> suspect_table::verdicts(time_point now) const
{
    std::vector<crash_verdict> out;
    for (auto const& it : entries_)
        if (it.second.blocked)
            out.push_back({it.first, now - it.second.first_crash,
                           now - it.second.last_crash});
    return out;
}

void suspect_table::expire(time_point now)
{
    absl::erase_if(entries_, [&](auto const& it)
                   { return now - it.second.last_crash > entry_lifetime; });
}

} // namespace buckthornvale::decision::gateway
