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

//! What a VM says of itself: its GET /v1/status, or its object `status/<vm>`
//! when it does not answer.
struct vm_status
{
    objects::platform_vm vm;
    bool is_answering = false;             //!< GET /v1/status was answered
    std::optional<std::uint64_t> revision; //!< of the settings in force
    nlohmann::json document;               //!< as received
};

//! Entry VMs of the platform's list; nothing when it did not answer.
std::optional<std::vector<objects::platform_vm>> list_entry_vms(context& ctx);

//! Asks all VMs, several at once.
std::vector<vm_status>
read_statuses(context& ctx, std::vector<objects::platform_vm> const& vms);

//! Calls `task(i)` for all i < n from a bounded number of threads.
void parallel_for(std::size_t n, std::function<void(std::size_t)> const& task);

} // namespace buckthornvale::ctl

#endif
