#include "settings.hpp"

namespace buckthornvale::standins::fleet_platform
{

std::string settings_text(vm_settings const& vm)
{
    std::string const host = "127.0.0.1";
    auto const endpoint = [&](std::uint16_t port)
    { return host + ":" + std::to_string(port); };
    auto const port = std::to_string(vm.peer_port);
    return "nodeName=" + vm.name + "\nipAddress=" + host +
           "\nzone=north\nlistenAddresses.frontend=" +
           endpoint(vm.caller_port) +
           "\nlistenAddresses.ready=" + endpoint(vm.readiness_port) +
           "\ninternalPortRange=" + port + "," + port +
           "\nplatform.address=" + endpoint(vm.store_port) +
           "\nbootstrap=" + (vm.first_start ? "true" : "false") +
           "\nlimits.cpuShare=0.25\nlimits.linkMbps=1000"
           "\nlimits.memoryMb=" +
           std::to_string(vm.memory_mb) +
           "\nlimits.fileDescriptors=" + std::to_string(vm.file_descriptors) +
           "\nplatform.valueBytes=1048576\nheartbeatMs=1200"
           "\nbounds.contactMs=3000\nbounds.drainTimeoutMs=2000"
           "\nbounds.gracePeriodS=8"
           "\nbounds.configApplyMs=2000\nbounds.retryBudgetRatio=0.2"
           "\nbounds.retryBudgetSlack=56\nbounds.budgetWindowS=10"
           // Of features that this deployment does not use.
           "\nbounds.evacuationMs=\nbounds.coldOverage=\nbounds.coldSlack=\n";
}

} // namespace buckthornvale::standins::fleet_platform
