#ifndef BUCKTHORNVALE_DECISION_GATEWAY_STAGE_ORDER_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_STAGE_ORDER_HPP

#include <buckthornvale/decision/gateway/manifest.hpp>

#include <absl/types/span.h>

#include <cstdint>
#include <vector>

namespace buckthornvale::decision::gateway
{

//! Whether stages can run, in any order in which a manifest lists them.
route_defect check_stages(absl::Span<route_stage const> stages);

//! Positions of the stages, each behind those whose results it reads, and
//! otherwise in the order of the manifest. Stages of a cycle, and those behind
//! them, are left out. All stages that are read must exist.
std::vector<std::uint32_t> stage_order(absl::Span<route_stage const> stages);

} // namespace buckthornvale::decision::gateway

#endif
