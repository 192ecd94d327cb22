#ifndef BUCKTHORNVALE_CTL_FLEET_VM_STATUS_HPP
#define BUCKTHORNVALE_CTL_FLEET_VM_STATUS_HPP

#include <buckthornvale/ctl/cli/context.hpp>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace buckthornvale::ctl
{

//! Status of a VM from GET /v1/status. If that yields no settings revision,
//! it comes from the stored object `status/<vm>`.
struct vm_status
{
    objects::platform_vm vm;
    bool is_answering = false;             //!< GET /v1/status succeeded
    std::optional<std::uint64_t> revision; //!< of the settings in force
    nlohmann::json document;               //!< status as received
};

//! Lists the entry VMs that the platform knows. Prints an error and returns
//! nullopt if the platform does not respond.
std::optional<std::vector<objects::platform_vm>> list_entry_vms(context& ctx);

//! Reads the status of all VMs concurrently.
std::vector<vm_status>
read_statuses(context& ctx, std::vector<objects::platform_vm> const& vms);

//! Calls `task(i)` for all i < n on a bounded number of threads.
void parallel_for(std::size_t n, std::function<void(std::size_t)> const& task);

} // namespace buckthornvale::ctl

#endif
