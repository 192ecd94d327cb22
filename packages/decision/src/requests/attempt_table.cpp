#include <buckthornvale/decision/requests/attempt_table.hpp>

#include <algorithm>

namespace buckthornvale::decision::requests
{

attempt_state& attempt_table::add(request_id request, stage_index stage,
                                  runner_id runner, time_point now,
                                  duration budget)
{
    attempt_state state;
    state.id = attempt_id{incarnation_, ++last_counter_};
    state.request = request;
    state.stage = stage;
    state.runner = runner;
    state.started = now;
    state.expires = now + budget;
    return attempts_.emplace(state.id, state).first->second;
}

attempt_state* attempt_table::find(attempt_id id)
{
    auto const it = attempts_.find(id);
    return it == attempts_.end() ? nullptr : &it->second;
}

void attempt_table::expired(time_point now, std::vector<attempt_id>& out) const
{
    auto const first = out.size();
    for (auto const& [id, state] : attempts_)
    {
        bool const budget_spent = now >= state.expires;
        bool const crossed_wait_over =
            !state.call_open && now >= state.crossed_answer_deadline;
        if (budget_spent || crossed_wait_over)
            out.push_back(id);
    }
    // The iteration order of the hash map is unspecified, but decisions must be
    // deterministic.
    std::sort(out.begin() + static_cast<std::ptrdiff_t>(first), out.end());
}

} // namespace buckthornvale::decision::requests
