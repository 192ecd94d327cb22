#include <buckthornvale/decision/gateway/stage_order.hpp>
#include <buckthornvale/decision/gateway/stage_pipeline.hpp>

#include <algorithm>

namespace buckthornvale::decision::gateway
{

bool stage_pipeline::stage_state::done() const
{
    return std::none_of(results.begin(), results.end(),
                        [](std::string const& it) { return it.empty(); });
}

bool stage_pipeline::stage_state::inputs_read() const
{
    for (std::size_t n = 0; n < results.size(); ++n)
        if (results[n].empty() && !read_by_piece[n])
            return false;
    return started;
}

stage_pipeline::stage_pipeline(std::vector<route_stage> stages,
                               absl::Span<std::uint32_t const> pieces)
    : order_(stage_order(stages))
{
    for (std::size_t n = 0; n < stages.size(); ++n)
    {
        stage_state state;
        state.definition = std::move(stages[n]);
        state.results.resize(n < pieces.size() ? pieces[n] : 1);
        state.read_by_piece.resize(state.results.size());
        stages_.push_back(std::move(state));
    }
    for (auto const& it : stages_)
        for (auto const after : it.definition.after)
            if (!it.results.empty())
                stages_[after].terminal = false;
}

std::vector<std::uint32_t> stage_pipeline::start_ready_stages()
{
    std::vector<std::uint32_t> out;
    for (auto const n : order_)
    {
        auto& state = stages_[n];
        bool const ready = std::all_of(
            state.definition.after.begin(), state.definition.after.end(),
            [&](std::uint32_t after)
            { return stages_[after].started && stages_[after].done(); });
        if (state.started || !ready)
            continue;
        state.started = true;
        if (!state.results.empty())
            out.push_back(n);
    }
    return out;
}

std::vector<std::uint32_t>
stage_pipeline::missing_pieces(std::uint32_t stage) const
{
    std::vector<std::uint32_t> out;
    auto const& state = stages_[stage];
    for (std::uint32_t n = 0; state.started && n < state.results.size(); ++n)
        if (state.results[n].empty())
            out.push_back(n);
    return out;
}

bool stage_pipeline::awaits_results(std::uint32_t stage) const
{
    return stages_[stage].started && !stages_[stage].done();
}

std::vector<std::string> stage_pipeline::inputs_of(std::uint32_t stage) const
{
    std::vector<std::string> out;
    for (auto const after : stages_[stage].definition.after)
        out.insert(out.end(), stages_[after].results.begin(),
                   stages_[after].results.end());
    return out;
}

bool stage_pipeline::add_result(piece_result const& result)
{
    if (result.round != round_ || result.stage >= stages_.size())
        return false;
    auto& state = stages_[result.stage];
    if (!state.started || result.number >= state.results.size() ||
        !state.results[result.number].empty())
        return false;
    state.results[result.number] = result.handle;
    return true;
}

void stage_pipeline::mark_inputs_read(piece_result const& progress)
{
    if (progress.round == round_ && progress.stage < stages_.size() &&
        progress.number < stages_[progress.stage].read_by_piece.size())
        stages_[progress.stage].read_by_piece[progress.number] = true;
}

std::vector<std::pair<std::string, std::string>>
stage_pipeline::take_stage_results(stage_state& state)
{
    std::vector<std::pair<std::string, std::string>> out;
    if (state.released)
        return out;
    state.released = true;
    for (auto const& it : state.results)
        if (!it.empty())
            out.emplace_back(state.definition.service, it);
    return out;
}

std::vector<std::pair<std::string, std::string>>
stage_pipeline::take_unneeded_results()
{
    std::vector<std::pair<std::string, std::string>> out;
    for (std::uint32_t n = 0; n < stages_.size(); ++n)
    {
        if (stages_[n].terminal || !stages_[n].started || !stages_[n].done())
            continue;
        bool const needed = std::any_of(
            stages_.begin(), stages_.end(),
            [&](stage_state const& it)
            {
                auto const& after = it.definition.after;
                return !it.results.empty() && !it.inputs_read() &&
                       std::find(after.begin(), after.end(), n) != after.end();
            });
        if (needed)
            continue;
        auto released = take_stage_results(stages_[n]);
        std::move(released.begin(), released.end(), std::back_inserter(out));
    }
    return out;
}

std::vector<std::pair<std::string, std::string>>
stage_pipeline::take_all_results()
{
    std::vector<std::pair<std::string, std::string>> out;
    for (auto& it : stages_)
    {
        auto released = take_stage_results(it);
        std::move(released.begin(), released.end(), std::back_inserter(out));
    }
    return out;
}

void stage_pipeline::restart()
{
    ++round_;
    for (auto& it : stages_)
    {
        it.started = false;
        it.released = false;
        for (auto& result : it.results)
            result.clear();
        it.read_by_piece.assign(it.read_by_piece.size(), false);
    }
}

bool stage_pipeline::complete() const
{
    return std::all_of(stages_.begin(), stages_.end(),
                       [](stage_state const& it)
                       { return it.started && it.done(); });
}

std::vector<std::string> stage_pipeline::final_results() const
{
    std::vector<std::string> out;
    for (auto const& it : stages_)
        if (it.terminal)
            out.insert(out.end(), it.results.begin(), it.results.end());
    return out;
}

duration stage_pipeline::remaining_time(std::uint32_t stage,
                                        absl::Span<duration const> times) const
{
    std::vector<duration> after(stages_.size());
    for (auto it = order_.rbegin(); it != order_.rend(); ++it)
    {
        auto const& state = stages_[*it];
        auto const remaining =
            after[*it] + (state.results.empty() ? duration() : times[*it]);
        if (*it == stage)
            return remaining;
        for (auto const n : state.definition.after)
            after[n] = std::max(after[n], remaining);
    }
    return {};
}

duration stage_pipeline::finish_time(absl::Span<duration const> times,
                                     absl::Span<duration const> waits) const
{
    duration out{};
    std::vector<duration> finished(stages_.size());
    for (auto const n : order_)
    {
        duration at{};
        for (auto const after : stages_[n].definition.after)
            at = std::max(at, finished[after]);
        if (!stages_[n].results.empty())
            at = std::max(at, waits[n]) + times[n];
        finished[n] = at;
        out = std::max(out, at);
    }
    return out;
}

} // namespace buckthornvale::decision::gateway
