#include "simulation.hpp"

#include "overload_gate.hpp"
#include <buckthornvale/decision/admission/admission_controller.hpp>

#include <memory>
#include <queue>

namespace buckthornvale::bench
{

namespace
{

using decision::from_seconds;
using decision::request_id;
using decision::admission::admission_controller;
using decision::admission::admission_outcome;

constexpr double tick = 0.005;           //!< poll period, seconds
constexpr double summary_period = 1.0;   //!< seconds
constexpr double capacity_notice = 1.0;  //!< until VMs know of lost runners
constexpr double one_way_latency = 5e-4; //!< between VMs and to runners

enum class event_kind
{
    arrive,
    stage_ends,
    poll,
    summary,
    lose_runners,
    notice_capacity
};

struct event
{
    double at = 0.0;
    std::uint64_t sequence = 0;
    event_kind kind = event_kind::poll;
    std::size_t subject = 0; //!< request or VM
    std::size_t runner = 0;

    friend bool operator>(event const& a, event const& b)
    {
        return a.at != b.at ? a.at > b.at : a.sequence > b.sequence;
    }
};

struct live_request
{
    std::size_t stage = 0;
    double started_at = 0.0; //!< of the present stage
    double model_work = 0.0; //!< slot seconds so far
    double work = 0.0;       //!< slot seconds so far, all pools
    bool started = false;
    bool in_time = false;
    double latency = 0.0;
    double waited = 0.0;
};

class simulation
{
public:
    simulation(deployment const& shape, scenario const& load,
               policy const& rule, bench_options const& options)
        : shape_(shape), load_(load), options_(options),
          arrivals_(make_arrivals(load, shape, options.seed)),
          requests_(arrivals_.size()),
          runners_(make_runners(shape, options.speed_spread)),
          chooser_(std::make_unique<least_loaded>())
    {
        for (std::size_t n = 0; n < shape.pools.size(); ++n)
            pools_.push_back(decision::pool_id::of(shape.pools[n].name));
        for (std::size_t n = 0; n < load.callers.size(); ++n)
            organisations_.push_back(
                decision::organisation_id::of(load.callers[n].name));
        for (std::size_t vm = 0; vm < shape.vms; ++vm)
            add_vm(vm, rule);
    }

    run_result run()
    {
        for (std::size_t n = 0; n < arrivals_.size(); ++n)
            push(arrivals_[n].at, event_kind::arrive, n);
        if (load_.halve_models)
        {
            push(load_.event_at, event_kind::lose_runners, 0);
            push(load_.event_at + capacity_notice, event_kind::notice_capacity,
                 0);
        }
        while (!events_.empty())
        {
            auto const next = events_.top();
            events_.pop();
            now_ = next.at;
            handle(next);
        }
        return result();
    }

private:
    time_point now() const { return time_point(from_seconds(now_)); }

    void push(double at, event_kind kind, std::size_t subject,
              std::size_t runner = 0)
    {
        events_.push({at, ++sequence_, kind, subject, runner});
    }

    void add_vm(std::size_t vm, policy const& rule)
    {
        decision::admission::admission_settings settings;
        settings.order = rule.order;
        settings.counter_step = rule.counter_step;
        settings.summary_organisations = options_.summary_organisations;
        settings.queue_slack_part = options_.queue_slack_part;
        settings.heavy_part = options_.heavy_part;
        settings.runner_queueing = from_seconds(options_.runner_queueing);
        controllers_.emplace_back(settings, options_.seed + vm);
        auto& it = controllers_.back();
        it.set_ranks(shape_.ranks);
        it.set_fleet_size(shape_.vms, time_point());
        for (std::size_t n = 0; n < pools_.size(); ++n)
            it.set_pool_capacity(pools_[n], shape_.slots(n), time_point());
        gates_.push_back(rule.gate == gate_kind::level    ? make_level_gate()
                         : rule.gate == gate_kind::ageing ? make_ageing_gate()
                                                          : nullptr);
        // The VMs' periods are not in step.
        auto const phase =
            static_cast<double>(vm + 1) / static_cast<double>(shape_.vms);
        push(phase * tick, event_kind::poll, vm);
        push(phase * summary_period, event_kind::summary, vm);
    }

    void handle(event const& it)
    {
        switch (it.kind)
        {
        case event_kind::arrive:
            return arrive(it.subject);
        case event_kind::stage_ends:
            return stage_ends(it.subject, it.runner);
        case event_kind::poll:
            poll(it.subject);
            if (now_ < load_.length + tail)
                push(now_ + tick, event_kind::poll, it.subject);
            return;
        case event_kind::summary:
            return send_summary(it.subject);
        case event_kind::lose_runners:
            return lose_runners();
        case event_kind::notice_capacity:
            for (auto& vm : controllers_)
                vm.set_pool_capacity(pools_[0], live_slots(0), now());
            return;
        }
    }

    void arrive(std::size_t n)
    {
        auto const& it = arrivals_[n];
        auto const r = it.work_rank;
        auto* const gate = gates_[it.vm].get();
        if (gate != nullptr && !gate->admit(r, it.caller, now_))
            return;
        auto const& pipeline = shape_.pipelines[index_of(r)];
        std::vector<decision::admission::stage_demand> stages;
        for (auto const& stage : pipeline.stages)
            stages.push_back({pools_[stage.pool], from_seconds(stage.work)});
        decision::admission::admission_request request;
        request.request = id_of(n);
        request.organisation = organisations_[it.caller];
        request.work_rank = r;
        request.deadline = now() + from_seconds(pipeline.deadline);
        request.stages = stages;
        request.expected_total = from_seconds(shape_.total_work(r));
        auto const answer = controllers_[it.vm].admit(request, now());
        if (answer.outcome == admission_outcome::dispatch)
            start(n);
        else if (answer.outcome == admission_outcome::queued)
            poll(it.vm);
    }

    void poll(std::size_t vm)
    {
        std::vector<request_id> dispatch;
        std::vector<request_id> expired;
        controllers_[vm].poll(now(), dispatch, expired);
        for (auto const& it : dispatch)
        {
            auto const n = it.counter;
            auto const waited = now_ - arrivals_[n].at;
            auto* const gate = gates_[vm].get();
            if (gate != nullptr && gate->drop(waited, now_))
            {
                controllers_[vm].finished(it, now());
                continue;
            }
            start(n);
        }
    }

    void start(std::size_t n)
    {
        if (auto* const gate = gates_[arrivals_[n].vm].get())
            gate->started(now_ - arrivals_[n].at, now_);
        requests_[n].started = true;
        requests_[n].waited = now_ - arrivals_[n].at;
        begin_stage(n);
    }

    stage_model const& stage_of(std::size_t n) const
    {
        return shape_.pipelines[index_of(arrivals_[n].work_rank)]
            .stages[requests_[n].stage];
    }

    double deadline_of(std::size_t n) const
    {
        return arrivals_[n].at +
               shape_.pipelines[index_of(arrivals_[n].work_rank)].deadline;
    }

    void begin_stage(std::size_t n)
    {
        auto const runner = chooser_->choose(runners_, stage_of(n).pool);
        auto const r = arrivals_[n].work_rank;
        auto const line = options_.runner_priority ? index_of(r) : 0;
        runners_[runner].queues[line].push_back({n, r});
        serve(runner);
    }

    void serve(std::size_t runner)
    {
        auto& it = runners_[runner];
        for (auto& queue : it.queues)
        {
            while (!queue.empty() && static_cast<double>(it.running) < it.slots)
            {
                auto const n = queue.front().request;
                queue.pop_front();
                if (now_ > deadline_of(n))
                {
                    end(n);
                    continue;
                }
                ++it.running;
                requests_[n].started_at = now_;
                auto const took =
                    arrivals_[n].work[requests_[n].stage] / it.speed;
                push(now_ + took + 2 * one_way_latency, event_kind::stage_ends,
                     n, runner);
            }
        }
    }

    void stage_ends(std::size_t n, std::size_t runner)
    {
        auto& request = requests_[n];
        auto const& stage = stage_of(n);
        auto const took = now_ - request.started_at;
        auto& vm = controllers_[arrivals_[n].vm];
        --runners_[runner].running;
        request.work += took;
        if (stage.pool == 0)
            request.model_work += took;
        if (measured(n))
            result_.stage_work[static_cast<std::size_t>(stage.kind)] += took;
        vm.stage_finished(id_of(n), pools_[stage.pool], from_seconds(took),
                          now());
        ++request.stage;
        auto const& stages =
            shape_.pipelines[index_of(arrivals_[n].work_rank)].stages;
        request.in_time =
            request.stage == stages.size() && now_ <= deadline_of(n);
        if (request.stage == stages.size() || now_ > deadline_of(n))
            end(n);
        else
            begin_stage(n);
        serve(runner);
        poll(arrivals_[n].vm);
    }

    void end(std::size_t n)
    {
        requests_[n].latency = now_ - arrivals_[n].at;
        controllers_[arrivals_[n].vm].finished(id_of(n), now());
    }

    void send_summary(std::size_t vm)
    {
        auto const summary = controllers_[vm].local_demand(now());
        auto const id = decision::vm_id::of("vm" + std::to_string(vm));
        for (std::size_t peer = 0;
             options_.summaries && peer < controllers_.size(); ++peer)
        {
            if (peer != vm)
                controllers_[peer].update_peer_demand(
                    id, summary, now() + from_seconds(one_way_latency));
        }
        if (now_ < load_.length)
            push(now_ + summary_period, event_kind::summary, vm);
    }

    // Every second runner of pool 0 stops; what runs there still ends, what
    // waits there moves to other runners.
    void lose_runners()
    {
        std::vector<std::size_t> moved;
        for (std::size_t n = 0; n < runners_.size(); ++n)
        {
            auto& it = runners_[n];
            if (it.pool != 0 || n % 2 == 0)
                continue;
            it.live = false;
            for (auto& queue : it.queues)
            {
                for (auto const& waiting : queue)
                    moved.push_back(waiting.request);
                queue.clear();
            }
        }
        for (auto const n : moved)
            begin_stage(n);
    }

    double live_slots(std::size_t pool) const
    {
        double sum = 0.0;
        for (auto const& it : runners_)
            sum += it.pool == pool && it.live ? it.slots : 0.0;
        return sum;
    }

    bool measured(std::size_t n) const
    {
        return arrivals_[n].at >= load_.event_at;
    }

    static request_id id_of(std::size_t n) { return {1, n}; }

    run_result result()
    {
        for (std::size_t n = 0; n < arrivals_.size(); ++n)
        {
            if (!measured(n))
                continue;
            auto const& request = requests_[n];
            result_.outcomes.push_back({arrivals_[n].caller,
                                        arrivals_[n].work_rank, request.started,
                                        request.in_time, request.latency,
                                        request.waited, request.work});
            if (request.in_time)
                result_.model_work[index_of(arrivals_[n].work_rank)] +=
                    request.model_work;
            else
                result_.wasted_work[index_of(arrivals_[n].work_rank)] +=
                    request.work;
        }
        result_.seconds = load_.length - load_.event_at;
        return std::move(result_);
    }

    //! Time after the last arrival in which queued requests end.
    static constexpr double tail = 15.0;

    deployment const& shape_;
    scenario const& load_;
    bench_options options_;
    std::vector<arrival> arrivals_;
    std::vector<live_request> requests_;
    std::vector<runner_model> runners_;
    std::unique_ptr<runner_chooser> chooser_;
    std::vector<decision::pool_id> pools_;
    std::vector<decision::organisation_id> organisations_;
    std::vector<admission_controller> controllers_;
    std::vector<std::unique_ptr<overload_gate>> gates_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::uint64_t sequence_ = 0;
    double now_ = 0.0;
    run_result result_;
};

} // namespace

run_result run(deployment const& shape, scenario const& load,
               policy const& rule, bench_options const& options)
{
    return simulation(shape, load, rule, options).run();
}

} // namespace buckthornvale::bench
