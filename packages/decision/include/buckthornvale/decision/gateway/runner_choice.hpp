#ifndef BUCKTHORNVALE_DECISION_GATEWAY_RUNNER_CHOICE_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_RUNNER_CHOICE_HPP

#include <buckthornvale/decision/gateway/request.hpp>
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

//! Input for the choice of a model runner.
struct engine_request
{
    absl::Span<prompt_part const> prompt;
    //! Replaces the session for requests without a prompt.
    std::uint64_t seed = 0;
};

//! Chooses a model runner by rendezvous hashing of the session: the first
//! runner in hash order whose load is within a bound of the mean. All VMs
//! choose the same runner for a session without communication, so that its
//! prompt is processed only once.
runner_state* choose_engine_runner(absl::Span<runner_state* const> runners,
                                   engine_request const& request,
                                   time_point now);

} // namespace buckthornvale::decision::gateway

#endif
