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

//! Demand that arrives at this VM, and its summary of bounded size.
//!
//! Two sketches find the heaviest organisations by requests (for limits) and
//! by cost (for fair shares); their figures come from the exact records.
class demand_tracker
{
public:
    demand_tracker(std::size_t summary_organisations, duration time_constant);

    //! Notes a request before any check.
    void add_request(organisation_record& record, time_point now);

    //! Notes the cost of a request that is within its organisation's limits.
    void add_cost(organisation_record& record, rank r, double cost,
                  time_point now);

    demand_summary summary(absl::Span<pool_backlog const> pools,
                           organisation_table const& organisations,
                           time_point now) const;

private:
    //! Counts grow with time instead of being decayed one by one.
    double forward_weight(time_point now);
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
