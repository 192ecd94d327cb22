#ifndef BUCKTHORNVALE_DECISION_ROUTING_ROUTING_SETTINGS_HPP
#define BUCKTHORNVALE_DECISION_ROUTING_ROUTING_SETTINGS_HPP

#include <buckthornvale/decision/core/time.hpp>

#include <cstddef>
#include <cstdint>

namespace buckthornvale::decision::routing
{

//! Strategies that the router can run; all but the first are baselines.
enum class strategy_kind
{
    expected_completion,
    random,
    round_robin,
    least_request,
    two_choices,
    hot_cold,
    bounded_hash
};

constexpr std::size_t strategy_count = 7;

//! Parameters of the circuit breakers.
struct breaker_settings
{
    std::uint32_t failures_to_open = 3; //!< consecutive failures
    std::uint32_t slow_to_open = 5;     //!< consecutive slow completions
    //! An attempt is slow when it takes longer than this multiple of its
    //! predicted time at the runner's long-term speed, plus `slow_margin`.
    double slow_factor = 4.0;
    duration slow_margin = std::chrono::milliseconds(20);
    duration initial_wait = std::chrono::seconds(1);
    duration max_wait = std::chrono::seconds(30);
    //! After this many consecutive slow probes the runner's lower speed is
    //! accepted: the long-term speed is set to that of the probes and the
    //! circuit closes.
    std::uint32_t slow_probes_to_accept = 5;
};

//! Bounds of the prefix-cache index.
struct prefix_settings
{
    std::size_t entries = std::size_t{1} << 15; //!< rounded up to 2^n
    duration lifetime = std::chrono::minutes(10);
    //! Work that one cached block saves, at speed 1.
    duration saved_per_block = std::chrono::milliseconds(2);
    //! Weight of a cache hit relative to the work it saves: a hit also avoids a
    //! second copy of the same blocks in another runner's cache.
    double hit_weight = 2.0;
    double max_saving_share = 0.8; //!< as a share of the attempt's work
};

struct routing_settings
{
    strategy_kind strategy = strategy_kind::expected_completion;
    std::size_t samples = 3; //!< random candidates from the pool
    //! Additional candidates from the local failure domain, for work so short
    //! that the cost of another domain is significant.
    std::size_t local_samples = 1;
    //! Share of the other VMs that is assumed to choose as this one does
    //! between two reports, and the upper bound of their number.
    double correlated_peer_share = 0.7;
    double max_correlated_peers = 6.0;
    //! Round trip to another failure domain.
    duration remote_cost = std::chrono::milliseconds(1);
    duration adapter_load = std::chrono::milliseconds(200);
    duration warm_up = std::chrono::seconds(10);
    double warm_up_start = 0.1;
    //! Up to this age a report counts in full. Over the same period again its
    //! weight falls to 0 and the pool's mean replaces it.
    duration report_fresh_age = std::chrono::seconds(2);
    std::size_t adapters_per_runner = 32;
    //! Maximum share of a pool whose circuits may be open because of slowness;
    //! a pool that is slow as a whole is better used slowly than not at all.
    double max_slow_share = 0.34;
    breaker_settings breaker;
    prefix_settings prefix;
};

} // namespace buckthornvale::decision::routing

#endif
