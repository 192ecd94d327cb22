#ifndef BUCKTHORNVALE_DECISION_ADMISSION_ORDERING_POLICY_HPP
#define BUCKTHORNVALE_DECISION_ADMISSION_ORDERING_POLICY_HPP

#include <buckthornvale/decision/admission/admission_types.hpp>
#include <buckthornvale/decision/admission/rank_scheduler.hpp>

#include <memory>
#include <optional>
#include <string_view>

namespace buckthornvale::decision::admission
{

//! The first request of one queue, as a policy compares it.
struct candidate
{
    rank work_rank = rank::standard;
    pool_access access = pool_access::borrowed;
    std::uint64_t sequence = 0; //!< order of arrival
    time_point latest_start;
    double counter = 0.0;        //!< of its organisation, within the rank
    double rank_start_tag = 0.0; //!< service of the rank over its share
    double worth_per_cost = 0.0; //!< worth of the rank over expected work
};

//! Which mechanisms a policy uses.
struct policy_traits
{
    bool rank_shares = false;                //!< guaranteed shares, lent
    bool fair_between_organisations = false; //!< virtual token counters
    bool deadline_checks = false;            //!< early refusal and expiry
    bool least_slack = false; //!< order within a queue; else arrival
    bool favour_light_organisations =
        false; //!< light organisations need not wait
};

//! Order in which waiting requests are dispatched. Stateless.
class ordering_policy
{
public:
    virtual ~ordering_policy() = default;
    virtual policy_traits traits() const = 0;

    //! Whether `a` is dispatched before `b`; both may be dispatched now.
    virtual bool before(candidate const& a, candidate const& b) const = 0;
};

std::unique_ptr<ordering_policy const> make_ordering_policy(ordering kind);

//! Name used in settings and by the policy bench.
std::string_view name_of(ordering kind);
std::optional<ordering> parse_ordering(std::string_view name);

constexpr std::array<ordering, 5> all_orderings = {
    ordering::fifo, ordering::strict_priority, ordering::weighted_fair,
    ordering::deadline_aware, ordering::combined};

} // namespace buckthornvale::decision::admission

#endif
