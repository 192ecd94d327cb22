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

//! When a circuit breaker opens and how it probes.
struct breaker_settings
{
    std::uint32_t failures_to_open = 3; //!< consecutive failures
    std::uint32_t slow_to_open = 5;     //!< consecutive slow completions
    //! An attempt is slow past this multiple of its predicted time at the
    //! runner's long-term speed, plus `slow_margin`.
    double slow_factor = 4.0;
    duration slow_margin = std::chrono::milliseconds(20);
    duration first_wait = std::chrono::seconds(1);
    duration max_wait = std::chrono::seconds(30);
    //! A runner that stays slow for so many probes is taken as it is: the
    //! long-term speed is set to the probes' speed and the circuit closes.
    std::uint32_t slow_probes_to_accept = 5;
};

//! Bounds of the prefix-cache index.
struct prefix_settings
{
    std::size_t entries = std::size_t{1} << 15; //!< rounded up to 2^n
    duration lifetime = std::chrono::minutes(10);
    //! Work that one cached block saves, at speed 1.
    duration saved_per_block = std::chrono::milliseconds(2);
    //! Weight of a hit against its saving: a hit also spares the cache of
    //! another runner from holding the same blocks.
    double hit_weight = 2.0;
    double max_saving_share = 0.8; //!< as a share of the attempt's work
};

struct routing_settings
{
    strategy_kind strategy = strategy_kind::expected_completion;
    std::size_t samples = 3; //!< random candidates from the pool
    //! More from the own failure domain, for work so short that the way to
    //! another one matters.
    std::size_t local_samples = 1;
    //! Share of the other VMs that is assumed to choose as this one does
    //! between two reports, and the most of them.
    double correlated_peer_share = 0.7;
    double max_correlated_peers = 6.0;
    //! Round trip to another failure domain.
    duration remote_cost = std::chrono::milliseconds(1);
    duration adapter_load = std::chrono::milliseconds(200);
    duration warm_up = std::chrono::seconds(10);
    double warm_up_start = 0.1;
    //! A report of this age still counts in full; after as much again it
    //! counts nothing and the pool's mean takes its place.
    duration report_fresh_age = std::chrono::seconds(2);
    std::size_t adapters_per_runner = 32;
    //! Share of a pool that may be open for slowness; a pool that is slow as
    //! a whole is better used slowly than refused.
    double max_slow_share = 0.34;
    breaker_settings breaker;
    prefix_settings prefix;
};

} // namespace buckthornvale::decision::routing

#endif
