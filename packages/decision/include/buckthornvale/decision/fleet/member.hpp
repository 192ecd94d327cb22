#ifndef BUCKTHORNVALE_DECISION_FLEET_MEMBER_HPP
#define BUCKTHORNVALE_DECISION_FLEET_MEMBER_HPP

#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/core/time.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace buckthornvale::decision::fleet
{

//! What a VM of the platform's list is for.
enum class member_role : std::uint8_t
{
    entry, //!< runs buckthornvaled
    runner
};

//! State of a VM as this VM sees it.
enum class member_state : std::uint8_t
{
    live,
    suspect, //!< does not respond; may recover
    paused,  //!< link open, no response
    dead,    //!< connection reset or refused, or silent for too long
    leaving  //!< shuts down; gets nothing new
};

std::string_view name_of(member_state state);

//! One VM of the platform's list.
struct listed_vm
{
    std::string name;
    std::string address;
    std::string peer_address;
    std::string failure_domain;
    member_role role = member_role::entry;
    bool leaving = false;
};

//! A VM with its state.
struct member
{
    vm_id id;
    failure_domain_id domain;
    listed_vm listed;
    member_state state = member_state::live;
    std::uint64_t incarnation = 0; //!< from its hello; 0 when not known
    time_point since{};            //!< of the state
};

//! What a peer link saw.
enum class link_event : std::uint8_t
{
    connected, //!< hello received
    message,   //!< any message received
    refused,   //!< connection refused: no process listens
    reset,     //!< an open connection ended without a goodbye
    timed_out, //!< connecting got no response
    goodbye    //!< the peer said that it shuts down
};

} // namespace buckthornvale::decision::fleet

#endif
