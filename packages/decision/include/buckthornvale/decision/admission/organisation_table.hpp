#ifndef BUCKTHORNVALE_DECISION_ADMISSION_ORGANISATION_TABLE_HPP
#define BUCKTHORNVALE_DECISION_ADMISSION_ORGANISATION_TABLE_HPP

#include <buckthornvale/decision/admission/admission_types.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <list>
#include <memory>

namespace buckthornvale::decision::admission
{

//! State of one active organisation; held only while it sends requests.
struct organisation_record
{
    organisation_id id;
    time_point updated;            //!< time of the decayed rates
    time_point bucket_refilled_at; //!< last refill of the rate limit's bucket
    double tokens = -1.0; //!< of the rate limit; negative: not yet filled
    std::array<double, rank_count> counter{}; //!< virtual token counters
    std::array<double, rank_count> queued_cost{};
    std::array<std::uint32_t, rank_count> queued{};
    std::array<float, rank_count> queued_weight{}; //!< while queued
    float request_rate = 0.0F;
    std::array<float, rank_count> cost_rate{};
    std::uint32_t in_flight = 0; //!< queued and running requests
    std::list<organisation_record*>::iterator
        activity_position; //!< in the idle order

    //! Brings the rates to the present.
    void decay(duration time_constant, time_point now);
};

//! Records of the active organisations. An organisation without requests for
//! the idle time is dropped, so memory follows the active ones.
class organisation_table
{
public:
    organisation_table(duration idle_timeout, duration time_constant);

    //! The record of an organisation, made when there is none, with its rates
    //! brought to the present. The reference stays valid until it is dropped.
    organisation_record& touch(organisation_id id, time_point now);

    organisation_record* find(organisation_id id);
    organisation_record const* find(organisation_id id) const;

    //! Drops organisations that have been idle; bounded work per call.
    void drop_idle(time_point now);

    std::size_t size() const { return records_.size(); }

private:
    duration idle_timeout_;
    duration time_constant_;
    absl::flat_hash_map<organisation_id, std::unique_ptr<organisation_record>>
        records_;
    std::list<organisation_record*> by_activity_; //!< least recent first
};

} // namespace buckthornvale::decision::admission

#endif
