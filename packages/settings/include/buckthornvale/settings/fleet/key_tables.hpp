#ifndef BUCKTHORNVALE_SETTINGS_FLEET_KEY_TABLES_HPP
#define BUCKTHORNVALE_SETTINGS_FLEET_KEY_TABLES_HPP

#include <buckthornvale/settings/schema/key.hpp>

namespace buckthornvale::settings
{

// Tables that validate and document the fleet settings.

key_table<decision::rank_settings> rank_keys();
key_table<decision::fleet_parameters> fleet_keys();
key_table<decision::pool_settings> pool_keys();
key_table<decision::runner_settings> runner_keys();
key_table<decision::pipeline_settings> pipeline_keys();
key_table<decision::stage_settings> stage_keys();
key_table<decision::organisation_settings> organisation_keys();

} // namespace buckthornvale::settings

#endif
