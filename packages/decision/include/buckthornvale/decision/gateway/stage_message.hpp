#ifndef BUCKTHORNVALE_DECISION_GATEWAY_STAGE_MESSAGE_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_STAGE_MESSAGE_HPP

#include <buckthornvale/decision/core/time.hpp>
#include <buckthornvale/decision/gateway/wait_profile.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

//! Messages between VMs. Times are relative, because clocks of VMs differ.
namespace buckthornvale::decision::gateway
{

//! Number of a request of the VM that took it from its caller.
using request_ref = std::uint64_t;

//! Number of the first request of a process. Processes of one VM number their
//! requests apart: a result for a request of the former process must not be
//! taken for one of this process.
constexpr request_ref first_request_ref(std::uint64_t incarnation)
{
    constexpr unsigned process_bits = 32;
    return (incarnation << process_bits) + 1;
}

//! Address of the runner that holds the result: a handle is "ip:port/id".
inline std::string_view address_of(std::string_view handle)
{
    return handle.substr(0, handle.find('/'));
}

//! A piece of a request that a stage service has to work on.
struct piece
{
    request_ref request = 0; //!< at the VM that asks
    std::uint32_t round = 0; //!< tells repeats of the same piece apart
    std::string request_id;  //!< as the caller sent it
    std::string service;
    std::uint32_t stage = 0;
    std::uint32_t number = 0;        //!< of the piece within its stage
    std::string key;                 //!< for stages without inputs
    std::vector<std::string> inputs; //!< results of earlier stages
    std::string domain; //!< failure domain to work in, where there is a choice
    double result_bytes = 0;
    int rank = 0;
    duration due_in{};    //!< from now; worth less after it
    duration last_in{};   //!< from now; a turn after it is of no use
    duration time_left{}; //!< from now; worth nothing after it
};

enum class piece_outcome
{
    done,
    late,       //!< its time had passed before its turn
    input_gone, //!< a result that it needs is gone
    failed,     //!< tried on several runners without a result
    overloaded, //!< turned away, since it cannot be done in time
    inputs_read //!< in work; its inputs are no longer needed
};

//! What became of a piece.
struct piece_result
{
    std::string service;
    request_ref request = 0;
    std::uint32_t round = 0;
    std::uint32_t stage = 0;
    std::uint32_t number = 0;
    piece_outcome outcome = piece_outcome::failed;
    std::string handle; //!< of the result
};

//! Time that pieces of a service wait at its scheduler at present.
struct backlog
{
    std::string service;
    wait_profile waits;    //!< until a piece gets its turn
    duration call{};       //!< time of a call
    double room_share = 0; //!< part of the room for results that is taken
};

struct submit_pieces
{
    std::vector<piece> pieces;
};

struct return_results
{
    std::vector<piece_result> results;
    std::vector<backlog> backlogs;
};

//! Results that no request needs any more.
struct release_results
{
    std::string service;
    std::vector<std::string> handles;
};

//! The callers of these requests have left; waiting pieces are dropped.
struct withdraw_pieces
{
    std::vector<request_ref> requests;
};

//! A request with this content broke off the runner that ran it.
struct report_crash
{
    std::uint64_t fingerprint = 0;
    bool cleared = false; //!< the content ran to its end after all
};

using peer_message =
    std::variant<submit_pieces, return_results, release_results,
                 withdraw_pieces, report_crash>;

} // namespace buckthornvale::decision::gateway

#endif
