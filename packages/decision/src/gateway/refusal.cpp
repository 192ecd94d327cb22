#include <buckthornvale/decision/gateway/refusal.hpp>

#include <algorithm>
#include <array>

namespace buckthornvale::decision::gateway
{

namespace
{

constexpr std::array<int, 4> not_run_statuses = {408, 421, 429, 503};

constexpr std::array<refusal_traits, 17> refusals = {{
    {refusal::none, 500, "none"},
    {refusal::no_manifest, 503, "no_manifest"},
    {refusal::vm_starting, 503, "vm_starting"},
    {refusal::unknown_route, 404, "unknown_route"},
    {refusal::unknown_key, 401, "unknown_key"},
    {refusal::unusable_route, 503, "unusable_route"},
    {refusal::unmatched_pieces, 503, "unmatched_pieces"},
    {refusal::no_runner, 503, "no_runner"},
    {refusal::runners_full, 503, "runners_full"},
    {refusal::runners_limited, 503, "runners_limited"},
    {refusal::cannot_finish_in_time, 503, "cannot_finish_in_time"},
    {refusal::stage_failed, 503, "stage_failed"},
    {refusal::crashes_runners, 503, "crashes_runners"},
    {refusal::vm_stopping, 503, "vm_stopping"},
    {refusal::runner_failed, 502, "runner_failed"},
    {refusal::no_answer_in_time, 504, "no_answer_in_time"},
    {refusal::bad_answer, 502, "bad_answer"},
}};

} // namespace

refusal_traits const& traits_of(refusal reason)
{
    for (auto const& it : refusals)
        if (it.reason == reason)
            return it;
    return refusals.front();
}

bool states_not_run(int status)
{
    return std::find(not_run_statuses.begin(), not_run_statuses.end(),
                     status) != not_run_statuses.end();
}

} // namespace buckthornvale::decision::gateway
