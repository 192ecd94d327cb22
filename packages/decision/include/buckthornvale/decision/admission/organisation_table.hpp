#ifndef BUCKTHORNVALE_DECISION_ADMISSION_ORGANISATION_TABLE_HPP
#define BUCKTHORNVALE_DECISION_ADMISSION_ORGANISATION_TABLE_HPP

#include <buckthornvale/decision/admission/admission_types.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <list>
#include <memory>

namespace buckthornvale::decision::admission
{

//! Admission state of one active organisation.
struct organisation_record
{
    organisation_id id;
    time_point updated; //!< time to which the rates are decayed
    //! Last refill of the rate limit's token bucket.
    time_point bucket_refilled_at;
    //! Tokens of the rate limit; negative before the bucket is first filled.
    double tokens = -1.0;
    std::array<double, rank_count> counter{}; //!< virtual token counters
    std::array<double, rank_count> queued_cost{};
    std::array<std::uint32_t, rank_count> queued{};
    //! Weight in the rank while requests are queued.
    std::array<float, rank_count> queued_weight{};
    float request_rate = 0.0F;
    std::array<float, rank_count> cost_rate{};
    std::uint32_t in_flight = 0; //!< queued and running requests
    //! Position in the list by last activity, in organisation_table.
    std::list<organisation_record*>::iterator activity_position;

    //! Decays the rates to the given time.
    void decay(duration time_constant, time_point now);
};

//! Records of the active organisations. A record is evicted after the idle
//! timeout without requests, so memory follows the number of active
//! organisations.
class organisation_table
{
public:
    organisation_table(duration idle_timeout, duration time_constant);

    //! Returns the record of an organisation with its rates decayed to `now`,
    //! and creates it when there is none. The reference stays valid until the
    //! record is evicted.
    organisation_record& touch(organisation_id id, time_point now);

    organisation_record* find(organisation_id id);
    organisation_record const* find(organisation_id id) const;

    //! Evicts the records of organisations that have been idle; the work per
    //! call is bounded.
    void drop_idle(time_point now);

    std::size_t size() const { return records_.size(); }

private:
    duration idle_timeout_;
    duration time_constant_;
    absl::flat_hash_map<organisation_id, std::unique_ptr<organisation_record>>
        records_;
    //! Records by last activity, least recent first.
    std::list<organisation_record*> by_activity_;
};

} // namespace buckthornvale::decision::admission

#endif
