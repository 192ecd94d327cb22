#ifndef BUCKTHORNVALE_DECISION_GATEWAY_RUNNER_CHOICE_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_RUNNER_CHOICE_HPP

#include <buckthornvale/decision/gateway/engine_load.hpp>
#include <buckthornvale/decision/gateway/manifest.hpp>
#include <buckthornvale/decision/gateway/runner_directory.hpp>

#include <absl/types/span.h>

#include <cstdint>
#include <string_view>

namespace buckthornvale::decision::gateway
{

//! Returns the runner with a limit whose share has not been used for the
//! longest time, or nullptr if each was used, or became due, a short while ago.
runner_state* find_idle_share(absl::Span<runner_state* const> runners,
                              time_point now);

//! Chooses a runner of a plain service: picks two by the seed and returns the
//! one with the shorter expected time. If VMs chose the best of all runners,
//! they would all pick the same one, since they see the same outdated loads.
runner_state* choose_service_runner(absl::Span<runner_state* const> runners,
                                    std::uint64_t seed,
                                    std::string_view own_domain,
                                    time_point now);

//! The runner of a send, with what led to it.
struct runner_choice
{
    runner_state* runner = nullptr; //!< nullptr if there is none
    engine_expectation expected;    //!< of a model runner
    double load = 0; //!< estimated number of requests at the runner
};

//! Chooses a model runner by rendezvous hashing of the session: the first
//! runner in hash order whose load is within a bound of the mean and at which
//! the first event is not expected much later than elsewhere. All VMs choose
//! the same runner for a session without communication, so that its prompt is
//! processed only once; VMs that see the same loads still choose different
//! runners for different sessions. Never returns a runner whose memory own
//! requests would exceed. Takes the preferred runner, which is one of them, if
//! it has room.
runner_choice choose_engine_runner(absl::Span<runner_state* const> runners,
                                   engine_request const& work,
                                   engine_limits const& limits,
                                   engine_profile const& profile,
                                   time_point now,
                                   runner_state* preferred = nullptr);

} // namespace buckthornvale::decision::gateway

#endif
