#ifndef BUCKTHORNVALE_SETTINGS_FLEET_STAGE_ORDER_HPP
#define BUCKTHORNVALE_SETTINGS_FLEET_STAGE_ORDER_HPP

#include <buckthornvale/decision/core/settings_model.hpp>
#include <buckthornvale/settings/schema/detail/read.hpp>

#include <vector>

namespace buckthornvale::settings
{

//! Sorts stages topologically. Of several stages that are ready, the first as
//! written comes first. Reports unknown stages in `after` and cycles; `lines`
//! holds the source line of each stage's `after`.
void order_stages(detail::problem_collector& collector,
                  std::vector<decision::stage_settings>& stages,
                  std::vector<std::uint32_t> const& lines);

} // namespace buckthornvale::settings

#endif
