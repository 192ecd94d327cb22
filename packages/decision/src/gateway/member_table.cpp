#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/fleet/rendezvous.hpp>
#include <buckthornvale/decision/gateway/member_table.hpp>

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <cmath>

namespace buckthornvale::decision::gateway
{

namespace
{

constexpr double min_capacity = 0.001;
constexpr double capacity_exponent = 4;

//! Weighted rendezvous hashing. The weight grows with the fourth power of the
//! capacity: a scheduler serves the whole fleet, so a small VM would become its
//! bottleneck.
double score(std::string_view key, member const& value)
{
    auto const hash = fleet::rendezvous_weight(key, vm_id::of(value.name));
    constexpr double range = 18446744073709551616.0; // 2^64
    double const uniform = (double(hash) + 0.5) / range;
    double const capacity = std::max(value.capacity, min_capacity);
    return -std::pow(capacity, capacity_exponent) / std::log(uniform);
}

} // namespace

std::vector<std::string> member_table::assign(absl::Span<member const> members)
{
    std::vector<std::string> joined;
    absl::flat_hash_set<std::string_view> listed;
    for (auto const& it : members)
    {
        listed.insert(it.name);
        auto& known = members_[it.name];
        if (known.value.incarnation != it.incarnation)
        {
            known = {};
            if (it.name != self_)
                joined.push_back(it.name);
        }
        known.value = it;
    }
    for (auto it = members_.begin(); it != members_.end();)
        it = listed.contains(it->first) ? std::next(it) : members_.erase(it);
    return joined;
}

void member_table::suspect(std::string_view name, time_point now)
{
    auto const found = members_.find(name);
    if (found == members_.end())
        return;
    auto& it = found->second;
    if (it.failures == 0)
        it.unreachable_since = now;
    constexpr std::uint32_t max_doublings = 4;
    auto const factor = 1U << std::min(it.failures, max_doublings);
    it.suspected_until =
        now + std::min<duration>(suspicion_time * factor, max_suspicion_time);
    ++it.failures;
}

std::vector<std::string> member_table::members_to_remove(time_point now) const
{
    std::vector<std::string> out;
    for (auto const& it : members_)
    {
        bool const should_remove =
            it.first != self_ && it.second.failures > 1 &&
            now - it.second.unreachable_since >= removal_delay;
        if (should_remove)
            out.push_back(it.first);
        else if (it.first < self_ && it.second.suspected_until <= now)
            return {};
    }
    return out;
}

bool member_table::record_answer(std::string_view name,
                                 std::uint64_t incarnation, time_point now)
{
    auto const found = members_.find(name);
    if (found == members_.end())
        return false;
    auto& it = found->second;
    bool const restarted =
        it.last_incarnation != 0 && it.last_incarnation != incarnation;
    it.last_incarnation = incarnation;
    it.answered_at = now;
    it.suspected_until = {};
    it.failures = 0;
    return restarted;
}

time_point member_table::last_answer_time(std::string_view name) const
{
    auto const found = members_.find(name);
    return found == members_.end() ? time_point() : found->second.answered_at;
}

std::string const& member_table::owner(std::string_view key,
                                       time_point now) const
{
    std::string const* best = &self_;
    double best_score = -1;
    for (auto const& it : members_)
    {
        if (it.first != self_ && it.second.suspected_until > now)
            continue;
        double const value = score(key, it.second.value);
        if (value > best_score)
        {
            best = &it.first;
            best_score = value;
        }
    }
    return *best;
}

share_position member_table::position(std::string_view key) const
{
    auto const own = fleet::rendezvous_weight(key, vm_id::of(self_));
    share_position out;
    out.vm_count = members_.size();
    for (auto const& it : members_)
        if (it.first != self_ &&
            fleet::rendezvous_weight(key, vm_id::of(it.first)) > own)
            ++out.position;
    return out;
}

std::vector<std::string> member_table::first(std::string_view key,
                                             std::size_t n) const
{
    std::vector<std::pair<std::uint64_t, std::string const*>> order;
    for (auto const& it : members_)
        order.emplace_back(fleet::rendezvous_weight(key, vm_id::of(it.first)),
                           &it.first);
    auto const end = order.begin() + std::ptrdiff_t(std::min(n, order.size()));
    std::partial_sort(order.begin(), end, order.end(),
                      [](auto const& a, auto const& b)
                      { return a.first > b.first; });
    std::vector<std::string> out;
    for (auto it = order.begin(); it != end; ++it)
        out.push_back(*it->second);
    return out;
}

member const* member_table::find(std::string_view name) const
{
    auto const found = members_.find(name);
    return found == members_.end() ? nullptr : &found->second.value;
}

std::vector<std::string> member_table::others() const
{
    std::vector<std::string> out;
    for (auto const& it : members_)
        if (it.first != self_)
            out.push_back(it.first);
    return out;
}

std::size_t member_table::count() const
{
    return members_.size();
}

} // namespace buckthornvale::decision::gateway
