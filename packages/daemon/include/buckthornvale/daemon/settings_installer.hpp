#ifndef BUCKTHORNVALE_DAEMON_SETTINGS_INSTALLER_HPP
#define BUCKTHORNVALE_DAEMON_SETTINGS_INSTALLER_HPP

#include <buckthornvale/decision/reducer/effect.hpp>
#include <buckthornvale/decision/reducer/event.hpp>
#include <buckthornvale/settings/fleet/settings_set.hpp>

#include <optional>
#include <string>
#include <vector>

namespace buckthornvale::daemon
{

//! What became of an apply_settings effect.
struct install_result
{
    //! Set when anything changed and the set can be used.
    std::optional<decision::requests::settings_installed> installed;
    std::vector<std::string> problems; //!< one line for each refused object
};

//! Parses changed settings objects and keeps the valid ones in force. Used on
//! the decision thread only; the reducer reads the settings in place.
class settings_installer
{
public:
    install_result apply(decision::apply_settings const& change);

    decision::fleet_settings const& settings() const { return set_.in_force(); }

private:
    settings::settings_set set_;
    bool complete_ = false; //!< the reducer has the settings
};

} // namespace buckthornvale::daemon

#endif
