#include <buckthornvale/decision/admission/organisation_fairness.hpp>

#include <algorithm>

namespace buckthornvale::decision::admission
{

namespace
{

//! Lower limit of the divisor, which keeps the counters finite for a weight of
//! zero.
constexpr double min_weight = 1e-3;

} // namespace

void organisation_fairness::activate(organisation_record& record, rank r) const
{
    auto& counter = record.counter[index_of(r)];
    counter = std::max(counter, virtual_time_[index_of(r)]);
}

void organisation_fairness::charge(organisation_record& record, rank r,
                                   double cost, double weight)
{
    auto& counter = record.counter[index_of(r)];
    auto& current_virtual_time = virtual_time_[index_of(r)];
    current_virtual_time = std::max(current_virtual_time, counter);
    counter += cost / std::max(weight, min_weight);
}

void organisation_fairness::adjust_charge(organisation_record& record, rank r,
                                          double difference,
                                          double weight) const
{
    record.counter[index_of(r)] += difference / std::max(weight, min_weight);
}

double local_weight(double weight, double own_cost_rate, double peers_cost_rate)
{
    auto const total = own_cost_rate + peers_cost_rate;
    auto const fraction = total > 0.0 ? own_cost_rate / total : 1.0;
    return std::max(weight * fraction, min_weight);
}

} // namespace buckthornvale::decision::admission
