#include <buckthornvale/decision/requests/request_state.hpp>

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>

namespace buckthornvale::decision::requests
{

namespace
{

constexpr std::size_t prefix_block_bytes = 256;

// Limits the number of prefix hashes for one request. Longer common prefixes do
// not change the choice of a runner.
constexpr std::size_t max_prefix_blocks = 64;

} // namespace

bool request_state::may_have_run() const
{
    auto const possibly_executed = [](stage_state const& it)
    { return it.possible_runs > 0; };
    return std::any_of(stages.begin(), stages.end(), possibly_executed);
}

bool request_state::non_repeatable_may_have_run() const
{
    for (stage_index n = 0; n < stages.size(); ++n)
    {
        if (stages[n].possible_runs > 0 && !graph->at(n).repeatable)
            return true;
    }
    return false;
}

std::string service_key_of(request_state const& request, stage_index n)
{
    return absl::StrCat(request.call.organisation, "/",
                        request.call.idempotency_key, "/",
                        request.call.pipeline, "/", request.graph->at(n).name);
}

std::vector<std::uint64_t> prefix_blocks_of(std::string_view input)
{
    std::vector<std::uint64_t> blocks;
    // The digest after each block covers all bytes up to the end of the block.
    std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> const state(
        XXH3_createState(), &XXH3_freeState);
    XXH3_64bits_reset(state.get());
    while (input.size() >= prefix_block_bytes &&
           blocks.size() < max_prefix_blocks)
    {
        XXH3_64bits_update(state.get(), input.data(), prefix_block_bytes);
        blocks.push_back(XXH3_64bits_digest(state.get()));
        input.remove_prefix(prefix_block_bytes);
    }
    return blocks;
}

void mark_needed_stages(request_state& request)
{
    auto& stages = request.stages;
    std::vector<bool> needed(stages.size(), false);
    needed[request.graph->last_stage()] = true;
    for (stage_index n = stages.size(); n-- > 0;)
    {
        if (stages[n].phase == stage_phase::done)
            continue;
        // A non-repeatable stage always runs, even when its output is unused.
        if (!request.graph->at(n).repeatable)
            needed[n] = true;
        stages[n].phase =
            needed[n] ? stage_phase::waiting : stage_phase::unneeded;
        if (!needed[n])
            continue;
        for (auto k : request.graph->inputs_of(n))
            needed[k] = true;
    }
}

bool is_startable(request_state const& request, stage_index n)
{
    if (request.stages[n].phase != stage_phase::waiting)
        return false;
    auto const inputs = request.graph->inputs_of(n);
    return std::all_of(inputs.begin(), inputs.end(),
                       [&](stage_index k) {
                           return request.stages[k].phase == stage_phase::done;
                       });
}

} // namespace buckthornvale::decision::requests
