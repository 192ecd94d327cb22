#ifndef BUCKTHORNVALE_DECISION_GATEWAY_RUNNER_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_RUNNER_HPP

#include <buckthornvale/decision/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace buckthornvale::decision::gateway
{

//! Registration of a runner.
struct runner
{
    std::string id; //!< usually new after a restart
    std::string service;
    std::string address; //!< "ip:port"
    std::string failure_domain;
    std::uint32_t slots = 1;
    bool draining = false;
    //! Start time, in Unix milliseconds. A runner may restart under its
    //! previous id; it has then lost its state.
    std::int64_t started_at_ms = 0;
    //! Time for which the runner remains slow after its start, as of the
    //! registration.
    duration cold_time_left{};
};

//! Load that a runner reports in an answer.
struct runner_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    //! Time that work takes on its machine at the moment of the report,
    //! relative to the usual time.
    std::optional<double> slowdown{};
};

//! What an answer says of the requests that its runner takes from all VMs.
struct named_rate_limit
{
    enum class kind
    {
        none, //!< it takes all
        limit,
        unreadable
    };

    kind what = kind::none;
    double per_s = 0; //!< requests per second
};

//! Registration of a VM of the fleet.
struct member
{
    std::string name;
    std::string address; //!< "ip:port" of its peer endpoint
    std::string failure_domain;
    std::uint64_t incarnation = 0;
    double capacity = 0; //!< share of a core, reduced on a slow network link
};

} // namespace buckthornvale::decision::gateway

#endif
