#ifndef BUCKTHORNVALE_DECISION_ADMISSION_SUMMARY_SUM_HPP
#define BUCKTHORNVALE_DECISION_ADMISSION_SUMMARY_SUM_HPP

#include <buckthornvale/decision/admission/admission_types.hpp>

#include <absl/types/span.h>

namespace buckthornvale::decision::admission
{

//! Sums the summaries of different VMs, for fleets that are too large for a
//! full mesh. The sum lists at most `organisations` entries, half of them
//! chosen by request rate and the rest by cost. Its bound for unlisted
//! organisations is the sum of the bounds of the parts plus the largest request
//! rate that was left out.
demand_summary sum_summaries(absl::Span<demand_summary const> parts,
                             std::size_t organisations);

} // namespace buckthornvale::decision::admission

#endif
