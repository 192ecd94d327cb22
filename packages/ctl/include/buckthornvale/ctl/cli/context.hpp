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

//! Values of the command-line flags.
struct options
{
    bool is_json = false;
    std::string author;            //!< recorded in the history
    std::string settings_folder;   //!< report: read instead of the store
    decision::duration timeout{};  //!< limit of waits
    decision::duration interval{}; //!< between polls or samples
    bool prunes = false;      //!< apply, diff: removes objects without a file
    bool waits = false;       //!< apply, drain: waits until it has taken effect
    bool reads_loads = false; //!< status: asks the runners for their load
    std::string record_file;  //!< report: samples are appended here
    std::string from_file;    //!< report: recorded samples
    std::uint32_t samples = 1;            //!< report: number of samples to take
    std::uint32_t max_organisations = 10; //!< report: listed at most
    std::string html_file;                //!< report: HTML page to write
    bool prints_rules = false;            //!< report: prints only alert rules
};

//! Dependencies of a command. Tests replace all of them.
struct context
{
    objects::object_api& store;
    vm_client& vms;
    options const& flags;
    std::ostream& out;
    std::ostream& err;                     //!< progress and errors
    std::function<std::int64_t()> wall_ms; //!< Unix time
    std::function<void(decision::duration)> sleep;
};

} // namespace buckthornvale::ctl

#endif
