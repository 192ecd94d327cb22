#ifndef BUCKTHORNVALE_DECISION_GATEWAY_RUNNER_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_RUNNER_HPP

#include <buckthornvale/decision/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace buckthornvale::decision::gateway
{

//! A runner as it registered itself.
struct runner
{
    std::string id; //!< new at most starts of the runner
    std::string service;
    std::string address; //!< "ip:port"
    std::string failure_domain;
    std::uint32_t slots = 1;
    bool draining = false;
    //! Unix time in milliseconds of the start. A runner may start again under
    //! the id that it had; it then holds nothing of before.
    std::int64_t started_at_ms = 0;
};

//! Load that a runner states in an answer.
struct runner_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

//! A VM of the fleet as it registered itself.
struct member
{
    std::string name;
    std::string address; //!< "ip:port" of its peer endpoint
    std::string failure_domain;
    std::uint64_t incarnation = 0;
    double capacity = 0; //!< share of a core, less on a narrow link
};

} // namespace buckthornvale::decision::gateway

#endif
