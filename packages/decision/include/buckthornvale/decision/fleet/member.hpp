#ifndef BUCKTHORNVALE_DECISION_FLEET_MEMBER_HPP
#define BUCKTHORNVALE_DECISION_FLEET_MEMBER_HPP

#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/core/time.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace buckthornvale::decision::fleet
{

//! Role of a VM in the list of the platform.
enum class member_role : std::uint8_t
{
    entry, //!< runs buckthornvaled
    runner
};

//! State of a VM as observed by this VM.
enum class member_state : std::uint8_t
{
    live,
    suspect, //!< does not respond, may still recover
    paused,  //!< link is open, but there is no response
    dead,    //!< connection reset or refused, or silent for too long
    leaving  //!< shuts down and gets no new work
};

std::string_view name_of(member_state state);

//! Entry of a VM in the list of the platform.
struct listed_vm
{
    std::string name;
    std::string address;
    std::string peer_address;
    std::string failure_domain;
    member_role role = member_role::entry;
    bool leaving = false;
};

//! A listed VM and its state.
struct member
{
    vm_id id;
    failure_domain_id domain;
    listed_vm listed;
    member_state state = member_state::live;
    std::uint64_t incarnation = 0; //!< from its hello message; 0 when unknown
    time_point since{};            //!< time of the last change of state
};

//! Event on a peer link.
enum class link_event : std::uint8_t
{
    connected, //!< hello received
    message,   //!< any message received
    refused,   //!< connection refused, no process is listening
    reset,     //!< an open connection ended without a goodbye message
    timed_out, //!< connection attempt timed out
    goodbye    //!< the peer announced that it shuts down
};

} // namespace buckthornvale::decision::fleet

#endif
