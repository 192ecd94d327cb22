#ifndef BUCKTHORNVALE_DECISION_GATEWAY_RUNNER_CHOICE_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_RUNNER_CHOICE_HPP

#include <buckthornvale/decision/gateway/request.hpp>
#include <buckthornvale/decision/gateway/runner_directory.hpp>

#include <absl/types/span.h>

#include <cstdint>
#include <string_view>

namespace buckthornvale::decision::gateway
{

//! Chooses a runner of a plain service: of two picked by the seed, the one with
//! the shorter expected time. Answers the load pattern "many VMs see the same
//! stale loads", in which all would pick the same runner.
runner_state* choose_service_runner(absl::Span<runner_state* const> runners,
                                    std::uint64_t seed,
                                    std::string_view own_domain,
                                    time_point now);

//! What an engine has to read for a request.
struct engine_request
{
    absl::Span<prompt_part const> prompt;
    std::uint64_t seed = 0; //!< for requests without a prompt
};

//! Chooses a model runner: the first in the order of rendezvous hashing by the
//! session whose load is within a bound of the mean. All VMs pick the same
//! runner for a session without talking, so that its prompt is read once.
runner_state* choose_engine_runner(absl::Span<runner_state* const> runners,
                                   engine_request const& request,
                                   time_point now);

} // namespace buckthornvale::decision::gateway

#endif
