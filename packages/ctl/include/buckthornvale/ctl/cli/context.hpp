#ifndef BUCKTHORNVALE_CTL_CLI_CONTEXT_HPP
#define BUCKTHORNVALE_CTL_CLI_CONTEXT_HPP

#include <buckthornvale/ctl/fleet/vm_client.hpp>
#include <buckthornvale/decision/core/time.hpp>
#include <buckthornvale/objects/objects/object_api.hpp>

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <string>

namespace buckthornvale::ctl
{

//! Values of the command's flags.
struct options
{
    bool is_json = false;
    std::string author;           //!< recorded in histories
    std::string settings_folder;  //!< folder with settings instead of the store
    decision::duration timeout{}; //!< of waits
    decision::duration interval{}; //!< between two polls or samples
    bool prunes = false;           //!< apply: removes what has no file
    bool waits = false;            //!< apply, drain: waits for the effect
    bool reads_loads = false;      //!< status: asks the runners
    std::string record_file;       //!< report: file that samples are added to
    std::string from_file;         //!< report: file of earlier samples
    std::uint32_t samples = 1;     //!< report: samples to take
    std::uint32_t max_organisations = 10; //!< report: organisations to list
    std::string html_file;                //!< report: page to write
    bool prints_rules = false;            //!< report: alert rules only
};

//! What a command works with. Tests replace all of it.
struct context
{
    objects::object_api& store;
    vm_client& vms;
    options const& flags;
    std::ostream& out;
    std::ostream& err;                     //!< progress and errors
    std::function<std::int64_t()> wall_ms; //!< UTC, since 1970
    std::function<void(decision::duration)> sleep;
};

} // namespace buckthornvale::ctl

#endif
