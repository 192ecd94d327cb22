#ifndef BUCKTHORNVALE_DECISION_ADMISSION_ORGANISATION_FAIRNESS_HPP
#define BUCKTHORNVALE_DECISION_ADMISSION_ORGANISATION_FAIRNESS_HPP

#include <buckthornvale/decision/admission/organisation_table.hpp>

#include <array>

namespace buckthornvale::decision::admission
{

//! Virtual token counters: what each organisation was given within a rank,
//! over its weight. The one with the lowest counter goes first.
//!
//! An organisation that comes back from idleness starts at the virtual time,
//! the counter of the last dispatch, and so neither saves up service nor pays
//! for what it used while nobody else waited.
class organisation_fairness
{
public:
    //! Brings the counter of an organisation that had nothing queued up to
    //! the virtual time.
    void activate(organisation_record& record, rank r) const;

    //! Charges a dispatched request.
    void charge(organisation_record& record, rank r, double cost,
                double weight);

    //! Corrects an earlier charge by the measured cost.
    void adjust_charge(organisation_record& record, rank r, double difference,
                       double weight) const;

    double virtual_time(rank r) const { return virtual_time_[index_of(r)]; }

private:
    std::array<double, rank_count> virtual_time_{};
};

//! Weight of an organisation on this VM: its weight in the settings times the
//! part of its fleet-wide demand that arrives here, so that an organisation
//! gets no more by spreading over several VMs.
double local_weight(double weight, double own_cost_rate,
                    double peers_cost_rate);

} // namespace buckthornvale::decision::admission

#endif
