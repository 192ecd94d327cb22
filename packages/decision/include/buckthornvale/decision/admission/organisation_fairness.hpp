#ifndef BUCKTHORNVALE_DECISION_ADMISSION_ORGANISATION_FAIRNESS_HPP
#define BUCKTHORNVALE_DECISION_ADMISSION_ORGANISATION_FAIRNESS_HPP

#include <buckthornvale/decision/admission/organisation_table.hpp>

#include <array>

namespace buckthornvale::decision::admission
{

//! Fair queueing between organisations by virtual token counters: the service
//! that each organisation received within a rank, divided by its weight. The
//! organisation with the lowest counter goes first.
//!
//! An organisation that becomes active again starts at the virtual time, which
//! is the counter of the last dispatch. It therefore neither accumulates credit
//! while it is idle nor is charged later for capacity that it used while no
//! other organisation waited.
class organisation_fairness
{
public:
    //! Raises the counter of an organisation that had nothing queued to the
    //! virtual time.
    void activate(organisation_record& record, rank r) const;

    //! Charges a dispatched request.
    void charge(organisation_record& record, rank r, double cost,
                double weight);

    //! Adjusts an earlier charge by the difference between measured and
    //! expected cost.
    void adjust_charge(organisation_record& record, rank r, double difference,
                       double weight) const;

    double virtual_time(rank r) const { return virtual_time_[index_of(r)]; }

private:
    std::array<double, rank_count> virtual_time_{};
};

//! Weight of an organisation on this VM: its configured weight times the
//! fraction of its fleet-wide demand that arrives here, so that an organisation
//! gets no more service by spreading its requests over several VMs.
double local_weight(double weight, double own_cost_rate,
                    double peers_cost_rate);

} // namespace buckthornvale::decision::admission

#endif
