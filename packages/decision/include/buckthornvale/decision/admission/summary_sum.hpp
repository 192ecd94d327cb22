#ifndef BUCKTHORNVALE_DECISION_ADMISSION_SUMMARY_SUM_HPP
#define BUCKTHORNVALE_DECISION_ADMISSION_SUMMARY_SUM_HPP

#include <buckthornvale/decision/admission/admission_types.hpp>

#include <absl/types/span.h>

namespace buckthornvale::decision::admission
{

//! Sums summaries of different VMs, for fleets above the size of a full mesh.
//! The sum lists at most `organisations` entries, half of them by request rate
//! and the rest by cost. What is not listed is covered by the bound, which is
//! the sum of the parts' bounds and the largest rate that was left out.
demand_summary sum_summaries(absl::Span<demand_summary const> parts,
                             std::size_t organisations);

} // namespace buckthornvale::decision::admission

#endif
