#include <buckthornvale/decision/gateway/evacuation_table.hpp>

#include <iterator>
#include <utility>

namespace buckthornvale::decision::gateway
{

evacuation_change evacuation_table::change_to(entry_map::const_iterator it,
                                              bool started, time_point now)
{
    return {it->first, started, now - it->second.known_since};
}

std::vector<evacuation_change>
evacuation_table::assign(absl::Span<std::string const> failure_domains,
                         time_point now)
{
    for (auto& it : entries_)
        it.second.expires_at = it.second.expires_at.value_or(now);
    auto out = start_all(failure_domains, now);
    auto const ended = expire(now);
    out.insert(out.end(), ended.begin(), ended.end());
    return out;
}

std::vector<evacuation_change>
evacuation_table::assign_restored(absl::Span<std::string const> failure_domains,
                                  time_point hold_until, time_point now)
{
    for (auto& it : entries_)
        it.second.expires_at = hold_until;
    return start_all(failure_domains, now);
}

std::vector<evacuation_change>
evacuation_table::start_all(absl::Span<std::string const> failure_domains,
                            time_point now)
{
    known_ = true;
    std::vector<evacuation_change> out;
    for (auto const& it : failure_domains)
        if (auto const change = start(it, now))
            out.push_back(*change);
    return out;
}

std::optional<evacuation_change>
evacuation_table::start(std::string_view failure_domain, time_point now)
{
    auto const [it, added] =
        entries_.try_emplace(std::string(failure_domain), entry{now, {}});
    it->second.expires_at.reset();
    if (auto const held = ended_.find(failure_domain); held != ended_.end())
        ended_.erase(held);
    if (!added)
        return std::nullopt;
    return change_to(it, true, now);
}

std::optional<evacuation_change>
evacuation_table::end(std::string_view failure_domain, time_point now)
{
    auto const found = entries_.find(failure_domain);
    if (found == entries_.end())
        return std::nullopt;
    auto const out = change_to(found, false, now);
    entries_.erase(found);
    return out;
}

std::vector<evacuation_change> evacuation_table::expire(time_point now)
{
    std::vector<evacuation_change> out;
    for (auto it = entries_.begin(); it != entries_.end();)
    {
        auto const& expires_at = it->second.expires_at;
        if (!expires_at || *expires_at > now)
        {
            ++it;
            continue;
        }
        out.push_back(change_to(it, false, now));
        it = entries_.erase(it);
    }
    return out;
}

void evacuation_table::hold_ended(std::string_view failure_domain,
                                  time_point until)
{
    ended_.insert_or_assign(std::string(failure_domain), until);
}

std::vector<std::string> evacuation_table::release_ended()
{
    return release_overdue(time_point::max());
}

std::vector<std::string> evacuation_table::release_overdue(time_point now)
{
    std::vector<std::string> out;
    for (auto it = ended_.begin(); it != ended_.end();)
    {
        auto const next = std::next(it);
        if (it->second <= now)
            out.push_back(std::move(ended_.extract(it).key()));
        it = next;
    }
    return out;
}

bool evacuation_table::excludes(std::string_view failure_domain) const
{
    return !known_ || contains(failure_domain) ||
           ended_.find(failure_domain) != ended_.end();
}

bool evacuation_table::excludes_any() const
{
    return !known_ || !entries_.empty() || !ended_.empty();
}

} // namespace buckthornvale::decision::gateway
