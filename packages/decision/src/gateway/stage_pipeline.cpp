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
        if (results[n].empty() && !read[n])
            return false;
    return started;
}

stage_pipeline::stage_pipeline(std::vector<route_stage> stages,
                               absl::Span<std::uint32_t const> pieces)
{
    for (std::size_t n = 0; n < stages.size(); ++n)
    {
        stage_state state;
        state.plan = std::move(stages[n]);
        state.results.resize(n < pieces.size() ? pieces[n] : 1);
        state.read.resize(state.results.size());
        for (auto const after : state.plan.after)
            if (!state.results.empty())
                stages_[after].last = false;
        stages_.push_back(std::move(state));
    }
}

std::vector<std::uint32_t> stage_pipeline::take_ready()
{
    std::vector<std::uint32_t> out;
    for (std::uint32_t n = 0; n < stages_.size(); ++n)
    {
        auto& state = stages_[n];
        bool const ready = std::all_of(
            state.plan.after.begin(), state.plan.after.end(),
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

std::vector<std::uint32_t> stage_pipeline::missing(std::uint32_t stage) const
{
    std::vector<std::uint32_t> out;
    auto const& state = stages_[stage];
    for (std::uint32_t n = 0; state.started && n < state.results.size(); ++n)
        if (state.results[n].empty())
            out.push_back(n);
    return out;
}

bool stage_pipeline::lacks_results(std::uint32_t stage) const
{
    return stages_[stage].started && !stages_[stage].done();
}

std::vector<std::string> stage_pipeline::inputs_of(std::uint32_t stage) const
{
    std::vector<std::string> out;
    for (auto const after : stages_[stage].plan.after)
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

void stage_pipeline::note_inputs_read(piece_result const& progress)
{
    if (progress.round == round_ && progress.stage < stages_.size() &&
        progress.number < stages_[progress.stage].read.size())
        stages_[progress.stage].read[progress.number] = true;
}

std::vector<std::pair<std::string, std::string>>
stage_pipeline::release(stage_state& of)
{
    std::vector<std::pair<std::string, std::string>> out;
    if (of.released)
        return out;
    of.released = true;
    for (auto const& it : of.results)
        if (!it.empty())
            out.emplace_back(of.plan.service, it);
    return out;
}

std::vector<std::pair<std::string, std::string>> stage_pipeline::take_unneeded()
{
    std::vector<std::pair<std::string, std::string>> out;
    for (std::uint32_t n = 0; n < stages_.size(); ++n)
    {
        if (stages_[n].last || !stages_[n].started || !stages_[n].done())
            continue;
        bool const needed = std::any_of(
            stages_.begin(), stages_.end(),
            [&](stage_state const& it)
            {
                auto const& after = it.plan.after;
                return !it.results.empty() && !it.inputs_read() &&
                       std::find(after.begin(), after.end(), n) != after.end();
            });
        if (needed)
            continue;
        auto released = release(stages_[n]);
        std::move(released.begin(), released.end(), std::back_inserter(out));
    }
    return out;
}

std::vector<std::pair<std::string, std::string>> stage_pipeline::take_all()
{
    std::vector<std::pair<std::string, std::string>> out;
    for (auto& it : stages_)
    {
        auto released = release(it);
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
        it.read.assign(it.read.size(), false);
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
        if (it.last)
            out.insert(out.end(), it.results.begin(), it.results.end());
    return out;
}

duration stage_pipeline::remaining_time(std::uint32_t stage,
                                        absl::Span<duration const> times) const
{
    duration after{};
    for (std::uint32_t n = stage + 1; n < stages_.size(); ++n)
    {
        auto const& needs = stages_[n].plan.after;
        if (std::find(needs.begin(), needs.end(), stage) != needs.end())
            after = std::max(after, remaining_time(n, times));
    }
    return after + (stages_[stage].results.empty() ? duration() : times[stage]);
}

} // namespace buckthornvale::decision::gateway
