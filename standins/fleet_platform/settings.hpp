#ifndef BUCKTHORNVALE_STANDINS_FLEET_PLATFORM_SETTINGS_HPP
#define BUCKTHORNVALE_STANDINS_FLEET_PLATFORM_SETTINGS_HPP

#include <cstdint>
#include <string>

namespace buckthornvale::standins::fleet_platform
{

//! What differs between the VMs of a fleet on loopback.
struct vm_settings
{
    std::string name;
    std::uint16_t caller_port = 0;
    std::uint16_t readiness_port = 0;
    std::uint16_t peer_port = 0;
    std::uint16_t store_port = 0;
    bool first_start = true; //!< of the whole fleet
    int memory_mb = 120;     //!< a small VM
    int file_descriptors = 4100;
};

//! The settings file that the platform writes for the VM.
std::string settings_text(vm_settings const& vm);

} // namespace buckthornvale::standins::fleet_platform

#endif
