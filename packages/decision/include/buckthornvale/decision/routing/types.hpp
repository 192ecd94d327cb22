#ifndef BUCKTHORNVALE_DECISION_ROUTING_TYPES_HPP
#define BUCKTHORNVALE_DECISION_ROUTING_TYPES_HPP

#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/core/settings_model.hpp>
#include <buckthornvale/decision/core/time.hpp>

#include <absl/types/span.h>

#include <cstdint>

namespace buckthornvale::decision::routing
{

//! Position of a runner in the runner table; stable while it is listed.
using runner_index = std::uint16_t;

constexpr runner_index no_index = 0xffff;

//! Description of one runner from the settings and the platform's list. A
//! runner belongs to one pool.
struct runner_info
{
    runner_id id;
    pool_id pool;
    failure_domain_id domain;
    double slots = 1.0; //!< requests that it serves concurrently
    runner_kind kind = runner_kind::engine;
};

//! Load as one runner reports it.
struct load_report
{
    runner_id runner;
    duration age{}; //!< age of the figures when they arrive
    double running = 0.;
    double queued = 0.;
    double tokens_per_s = 0.;
    std::uint64_t sequence = 0;
};

//! One stage attempt that needs a runner. The views need to outlive the call
//! only.
struct route_query
{
    pool_id pool;
    failure_domain_id local_domain;
    //! Chained hashes of the prompt's blocks: each covers all before it.
    absl::Span<std::uint64_t const> prefix_blocks;
    std::uint64_t adapter = 0; //!< stable_hash of the name; 0: none
    std::uint64_t model = 0;   //!< stable_hash of the name; 0: any
    duration expected_work{};  //!< service time at speed 1
    absl::Span<runner_id const> exclude;
    bool repeatable = true; //!< only repeatable attempts probe a runner
    //! Needs a runner without other attempts of this VM.
    bool needs_empty_runner = false;
};

enum class cache_event_kind
{
    add,
    remove,
    clear
};

//! One cache event of an engine; sequence numbers increase and may have gaps.
struct cache_event
{
    std::uint64_t sequence = 0;
    cache_event_kind kind = cache_event_kind::add;
    absl::Span<std::uint64_t const> blocks;
};

//! Result of an attempt with regard to its runner.
enum class attempt_result
{
    completed,   //!< whole response received
    not_started, //!< connection refused or documented refusal
    failed,      //!< error or lost connection after it may have started
    timed_out,   //!< its budget passed without a response
    cancelled    //!< cancelled for reasons unrelated to the runner
};

} // namespace buckthornvale::decision::routing

#endif
