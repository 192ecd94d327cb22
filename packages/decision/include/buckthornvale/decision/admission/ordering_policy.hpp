#ifndef BUCKTHORNVALE_DECISION_ADMISSION_ORDERING_POLICY_HPP
#define BUCKTHORNVALE_DECISION_ADMISSION_ORDERING_POLICY_HPP

#include <buckthornvale/decision/admission/admission_types.hpp>
#include <buckthornvale/decision/admission/rank_scheduler.hpp>

#include <memory>
#include <optional>
#include <string_view>

namespace buckthornvale::decision::admission
{

//! The head of one queue, as a policy compares it with others.
struct candidate
{
    rank work_rank = rank::standard;
    pool_access access = pool_access::borrowed;
    std::uint64_t sequence = 0; //!< order of arrival
    time_point latest_start;
    //! Virtual token counter of its organisation in the rank.
    double counter = 0.0;
    double rank_start_tag = 0.0; //!< service of the rank divided by its share
    //! Worth of the rank divided by the cost of the request.
    double worth_per_cost = 0.0;
};

//! Mechanisms that a policy uses.
struct policy_traits
{
    bool rank_shares = false; //!< guaranteed shares that other ranks may borrow
    //! Fair queueing by virtual token counters.
    bool fair_between_organisations = false;
    bool deadline_checks = false; //!< early refusal, and expiry in the queue
    //! Order within a flow by latest start; else by arrival.
    bool least_slack = false;
    //! Raise the bounds for organisations with little demand.
    bool favour_light_organisations = false;
};

//! Strategy that chooses the next request to dispatch. Stateless.
class ordering_policy
{
public:
    virtual ~ordering_policy() = default;
    virtual policy_traits traits() const = 0;

    //! Returns whether `a` is dispatched before `b`, when both may be
    //! dispatched now.
    virtual bool before(candidate const& a, candidate const& b) const = 0;
};

std::unique_ptr<ordering_policy const> make_ordering_policy(ordering kind);

//! Name of an ordering in settings and in the policy benchmark.
std::string_view name_of(ordering kind);
std::optional<ordering> parse_ordering(std::string_view name);

constexpr std::array<ordering, 5> all_orderings = {
    ordering::fifo, ordering::strict_priority, ordering::weighted_fair,
    ordering::deadline_aware, ordering::combined};

} // namespace buckthornvale::decision::admission

#endif
