#ifndef BUCKTHORNVALE_DECISION_TESTS_GATEWAY_FAKE_POOL_HPP
#define BUCKTHORNVALE_DECISION_TESTS_GATEWAY_FAKE_POOL_HPP

#include <buckthornvale/decision/gateway/stage_scheduler.hpp>

#include <map>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace buckthornvale::decision::gateway
{

using namespace std::chrono_literals;

constexpr time_point start{100s};

//! A simulated stage service. Each runner has one slot; a call takes a fixed
//! time plus a time for each piece.
class fake_pool
{
public:
    explicit fake_pool(std::size_t runner_count)
    {
        for (std::size_t n = 0; n < runner_count; ++n)
        {
            runner it;
            it.id = "r-" + std::to_string(n);
            it.service = "s";
            it.address = "10.0.0." + std::to_string(n + 1) + ":80";
            it.failure_domain = n % 2 == 0 ? "north" : "south";
            runners.upsert(it);
        }
    }

    //! Simulates calls and results until the given time. Results are freed
    //! immediately if `free_results` is set.
    void run(stage_scheduler& scheduler, time_point until, bool free_results)
    {
        while (!call_ends.empty() && call_ends.top().first <= until)
        {
            auto const next = call_ends.top();
            call_ends.pop();
            now = next.first;
            end_call(scheduler, next.second);
            dispatch(scheduler, free_results);
        }
        now = until;
        dispatch(scheduler, free_results);
    }

    void dispatch(stage_scheduler& scheduler, bool free_results)
    {
        effects out;
        scheduler.dispatch(runners, next_call, now, out);
        for (auto const& it : out)
        {
            if (auto const* call = std::get_if<call_stage>(&it))
                start_call(*call);
            if (auto const* freed =
                    std::get_if<decision::gateway::free_results>(&it))
                scheduler.results_freed(freed->call);
        }
        for (auto const& it : scheduler.take_results())
        {
            if (it.result.outcome == piece_outcome::inputs_read)
                continue;
            ++outcomes[it.result.outcome];
            if (free_results && !it.result.handle.empty())
                scheduler.release({it.result.handle});
        }
    }

    void start_call(call_stage const& call)
    {
        batches.push_back(call.pieces.size());
        pieces_by_runner[call.runner_id] += call.pieces.size();
        calls[call.call] = call;
        call_ends.emplace(now + 200ms + 8ms * std::int64_t(call.pieces.size()),
                          call.call);
    }

    void end_call(stage_scheduler& scheduler, call_ref ref)
    {
        stage_call_ended ended;
        ended.call = ref;
        ended.outcome = call_outcome::answered;
        for (std::size_t n = 0; n < calls[ref].pieces.size(); ++n)
            ended.pieces.push_back({piece_outcome::done, false,
                                    calls[ref].address + "/" +
                                        std::to_string(ref) + "-" +
                                        std::to_string(n)});
        scheduler.call_ended(ended, runners, now);
    }

    using timed_call = std::pair<time_point, call_ref>;

    runner_directory runners{2s};
    time_point now = start;
    call_ref next_call = 1;
    std::map<call_ref, call_stage> calls;
    std::priority_queue<timed_call, std::vector<timed_call>, std::greater<>>
        call_ends;
    std::vector<std::size_t> batches;
    std::map<std::string, std::size_t> pieces_by_runner;
    std::map<piece_outcome, int> outcomes;
};

inline piece make_piece(request_ref request, std::string domain = {})
{
    piece out;
    out.request = request;
    out.service = "s";
    out.domain = std::move(domain);
    out.result_bytes = 1;
    out.due_in = 1s;
    out.latest_start_in = 5s;
    out.time_left = 6s;
    return out;
}

inline piece_limits limits_of(double room)
{
    piece_limits out;
    out.batch = 22;
    out.call_time = 200ms;
    out.piece_time = 8ms;
    out.result_memory_bytes = room;
    out.result_lifetime = 4s;
    return out;
}

} // namespace buckthornvale::decision::gateway

#endif
