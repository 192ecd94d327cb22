#ifndef BUCKTHORNVALE_DECISION_ADMISSION_DEMAND_TRACKER_HPP
#define BUCKTHORNVALE_DECISION_ADMISSION_DEMAND_TRACKER_HPP

#include <buckthornvale/decision/admission/admission_types.hpp>
#include <buckthornvale/decision/admission/decayed_rate.hpp>
#include <buckthornvale/decision/admission/organisation_table.hpp>
#include <buckthornvale/decision/admission/pool_backlog.hpp>
#include <buckthornvale/decision/admission/space_saving.hpp>

#include <absl/types/span.h>

namespace buckthornvale::decision::admission
{

//! Demand that arrives at this VM, and its bounded summary.
//!
//! Two space-saving sketches find the heaviest organisations, one by requests
//! (for limits) and one by cost (for fair shares). The figures of the listed
//! organisations come from their exact records.
class demand_tracker
{
public:
    demand_tracker(std::size_t summary_organisations, duration time_constant);

    //! Records a request before any admission check.
    void add_request(organisation_record& record, time_point now);

    //! Records the cost of a request that is within the limits of its
    //! organisation.
    void add_cost(organisation_record& record, rank r, double cost,
                  time_point now);

    demand_summary summary(absl::Span<pool_backlog const> pools,
                           organisation_table const& organisations,
                           time_point now) const;

private:
    //! Returns the weight of an arrival at `now` (forward decay): new arrivals
    //! get exponentially growing weights, so that the counters of the sketches
    //! need not be decayed one by one.
    double forward_weight(time_point now);
    //! Appends the records of sketch entries that are not listed yet.
    void append_entries(demand_summary& out,
                        std::vector<space_saving::entry> const& entries,
                        organisation_table const& organisations,
                        time_point now) const;

    std::size_t max_listed_;
    duration time_constant_;
    time_point decay_origin_;
    space_saving request_sketch_;
    space_saving cost_sketch_;
    std::array<decayed_rate, rank_count> cost_rate_;
};

} // namespace buckthornvale::decision::admission

#endif
