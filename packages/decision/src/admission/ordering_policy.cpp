#include <buckthornvale/decision/admission/ordering_policy.hpp>

#include <tuple>

namespace buckthornvale::decision::admission
{

namespace
{

class fifo_policy : public ordering_policy
{
public:
    policy_traits traits() const override { return {}; }

    bool before(candidate const& a, candidate const& b) const override
    {
        return a.sequence < b.sequence;
    }
};

class strict_priority_policy : public ordering_policy
{
public:
    policy_traits traits() const override { return {}; }

    bool before(candidate const& a, candidate const& b) const override
    {
        return std::tie(a.work_rank, a.sequence) <
               std::tie(b.work_rank, b.sequence);
    }
};

class weighted_fair_policy : public ordering_policy
{
public:
    policy_traits traits() const override
    {
        policy_traits out;
        out.rank_shares = true;
        out.fair_between_organisations = true;
        return out;
    }

    bool before(candidate const& a, candidate const& b) const override
    {
        return std::tie(a.rank_start_tag, a.work_rank, a.counter, a.sequence) <
               std::tie(b.rank_start_tag, b.work_rank, b.counter, b.sequence);
    }
};

class deadline_aware_policy : public ordering_policy
{
public:
    policy_traits traits() const override
    {
        policy_traits out;
        out.deadline_checks = true;
        out.least_slack = true;
        return out;
    }

    bool before(candidate const& a, candidate const& b) const override
    {
        return std::tie(b.worth_per_cost, a.latest_start, a.sequence) <
               std::tie(a.worth_per_cost, b.latest_start, b.sequence);
    }
};

//! Serves guaranteed shares first; borrowed capacity goes to the most urgent
//! rank.
class combined_policy : public ordering_policy
{
public:
    policy_traits traits() const override
    {
        return {true, true, true, true, true};
    }

    bool before(candidate const& a, candidate const& b) const override
    {
        if (a.access != b.access)
            return a.access == pool_access::guaranteed;
        return std::tie(a.work_rank, a.counter, a.latest_start, a.sequence) <
               std::tie(b.work_rank, b.counter, b.latest_start, b.sequence);
    }
};

constexpr std::array<std::string_view, all_orderings.size()> names = {
    "fifo", "strict_priority", "weighted_fair", "deadline_aware", "combined"};

} // namespace

std::unique_ptr<ordering_policy const> make_ordering_policy(ordering kind)
{
    switch (kind)
    {
    case ordering::fifo:
        return std::make_unique<fifo_policy>();
    case ordering::strict_priority:
        return std::make_unique<strict_priority_policy>();
    case ordering::weighted_fair:
        return std::make_unique<weighted_fair_policy>();
    case ordering::deadline_aware:
        return std::make_unique<deadline_aware_policy>();
    case ordering::combined:
        break;
    }
    return std::make_unique<combined_policy>();
}

std::string_view name_of(ordering kind)
{
    return names[static_cast<std::size_t>(kind)];
}

std::optional<ordering> parse_ordering(std::string_view name)
{
    for (auto it : all_orderings)
    {
        if (name_of(it) == name)
            return it;
    }
    return std::nullopt;
}

} // namespace buckthornvale::decision::admission
