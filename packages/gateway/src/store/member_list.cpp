#include <buckthornvale/gateway/store/member_list.hpp>

#include <iterator>
#include <utility>

namespace buckthornvale::gateway::store
{

void member_list::apply(object_update const& update, decision::time_point now)
{
    std::map<std::string, entry> former;
    if (update.listed)
        former = std::exchange(entries_, {});
    for (auto const& it : update.objects)
    {
        auto value = it.deleted ? std::nullopt : platform::decode_member(it);
        if (value)
            entries_[it.name] = {std::move(*value), it.revision, {}};
        else
            entries_.erase(it.name);
    }
    if (!update.restored)
        return;
    for (auto& it : former)
    {
        it.second.revision.reset();
        it.second.lapses_at = now + registration_time;
    }
    entries_.merge(former);
}

bool member_list::expire(decision::time_point now)
{
    auto const before = entries_.size();
    for (auto it = entries_.begin(); it != entries_.end();)
    {
        auto const& lapses_at = it->second.lapses_at;
        bool const lapsed = lapses_at && *lapses_at <= now;
        it = lapsed ? entries_.erase(it) : std::next(it);
    }
    return entries_.size() < before;
}

void member_list::forget_revisions()
{
    for (auto& it : entries_)
        it.second.revision.reset();
}

bool member_list::is_registered(decision::gateway::member const& value) const
{
    auto const found = entries_.find(value.name);
    return found != entries_.end() && !found->second.lapses_at &&
           found->second.value.incarnation == value.incarnation;
}

std::optional<std::uint64_t>
member_list::revision_of(std::string const& name) const
{
    auto const found = entries_.find(name);
    return found == entries_.end() ? std::nullopt : found->second.revision;
}

std::vector<decision::gateway::member> member_list::values() const
{
    std::vector<decision::gateway::member> out;
    out.reserve(entries_.size());
    for (auto const& it : entries_)
        out.push_back(it.second.value);
    return out;
}

decision::gateway::member const& member_list::at(std::size_t position) const
{
    return std::next(entries_.begin(), std::ptrdiff_t(position))->second.value;
}

} // namespace buckthornvale::gateway::store
