//! Compares the choice strategies in virtual time: several VMs' routers send
//! to one set of modelled runners whose load reports lag.
//! Usage: routing_bench [requests [seed]]

#include "runner_model.hpp"
#include "workload.hpp"
#include <buckthornvale/decision/routing/router.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace buckthornvale::bench
{
namespace
{

using namespace decision;
using std::chrono::milliseconds;

constexpr std::size_t domains = 4;
constexpr auto report_every = milliseconds(500);
//! Age of a report when it arrives at a VM.
constexpr auto report_lag = milliseconds(250);
//! Cache events arrive late; one in so many is lost.
constexpr auto cache_lag = milliseconds(500);
constexpr std::uint64_t events_per_gap = 20;
constexpr double other_domain_s = 0.001;
//! Speeds of runners bought over several years.
constexpr double speeds[] = {0.5, 1., 1., 2.};

//! What happens to the runners during a run.
enum class trouble
{
    none,
    slow_runner //!< a tenth of the runners work at a tenth of their speed
};

struct event
{
    time_point at;
    enum class what
    {
        arrival,
        done,
        report,
        report_seen,
        cached,
        slow
    } kind;
    std::size_t index = 0;
    std::uint64_t order = 0;

    friend bool operator<(event const& a, event const& b)
    {
        return a.at != b.at ? a.at > b.at : a.order > b.order;
    }
};

struct seen_report
{
    double running = 0.;
    double queued = 0.;
};

struct figures
{
    std::vector<double> waits;
    std::vector<double> totals;
    std::size_t blocks = 0;
    std::size_t held = 0;

    double wait(double share) { return quantile(waits, share); }
    double total(double share) { return quantile(totals, share); }

private:
    static double quantile(std::vector<double>& all, double share)
    {
        auto const at =
            static_cast<std::size_t>(share * double(all.size() - 1));
        auto const middle = all.begin() + static_cast<std::ptrdiff_t>(at);
        std::nth_element(all.begin(), middle, all.end());
        return *middle;
    }
};

class simulation
{
public:
    simulation(shape const& of, routing::strategy_kind kind, trouble what)
        : shape_(of), trouble_(what), models_(of.runners), infos_(of.runners),
          last_(of.runners), cache_sequences_(of.runners),
          runner_of_(of.requests), started_(of.requests),
          elsewhere_(of.requests)
    {
        add_runners();
        jobs_ = make_jobs(of, total_speed_);
        routing::routing_settings settings;
        settings.strategy = kind;
        settings.prefix.saved_per_block = from_seconds(block_work_s);
        settings.adapter_load = from_seconds(adapter_work_s);
        for (std::size_t i = 0; i < of.vms; ++i)
        {
            routers_.push_back(
                std::make_unique<routing::router>(settings, of.seed + i));
            routers_.back()->set_runners(pool_, infos_, time_point{});
            routers_.back()->set_fleet_size(of.vms, time_point{});
        }
    }

    figures run()
    {
        push(jobs_.front().arrival, event::what::arrival, 0);
        for (std::size_t i = 0; i < models_.size(); ++i)
        {
            auto const offset =
                report_every * std::int64_t(i) / std::int64_t(models_.size());
            push(time_point(offset), event::what::report, i);
        }
        if (trouble_ == trouble::slow_runner)
            push(jobs_[jobs_.size() / 2].arrival, event::what::slow, 0);
        while (left_ > 0)
        {
            auto const next = events_.top();
            events_.pop();
            now_ = next.at;
            handle(next);
        }
        return std::move(figures_);
    }

private:
    void add_runners()
    {
        for (std::size_t i = 0; i < models_.size(); ++i)
        {
            auto const name = std::to_string(i);
            models_[i].speed = speeds[(i / domains) % std::size(speeds)];
            infos_[i] = {runner_id::of("runner-" + name), pool_, domain(i),
                         double(models_[i].slots)};
            index_of_[infos_[i].id] = i;
            total_speed_ += models_[i].speed * double(models_[i].slots);
        }
        left_ = shape_.requests;
    }

    static failure_domain_id domain(std::size_t i)
    {
        return failure_domain_id{i % domains + 1};
    }

    void push(time_point at, event::what kind, std::size_t index)
    {
        events_.push({at, kind, index, ++order_});
    }

    void handle(event const& it)
    {
        switch (it.kind)
        {
        case event::what::arrival:
            arrive(it.index);
            break;
        case event::what::done:
            finish(it.index);
            break;
        case event::what::report:
            take_report(it.index);
            break;
        case event::what::report_seen:
            show_report(it.index);
            break;
        case event::what::cached:
            show_cached(it.index);
            break;
        case event::what::slow:
            for (std::size_t i = 0; i < models_.size(); i += 10)
                models_[i].speed /= 10.;
            break;
        }
    }

    routing::route_query query(job const& it) const
    {
        routing::route_query result;
        result.pool = pool_;
        result.local_domain = domain(it.vm);
        result.prefix_blocks = it.blocks;
        result.adapter = it.adapter;
        // Only the mean is known before a request runs.
        result.expected_work = from_seconds(mean_work_s);
        return result;
    }

    void arrive(std::size_t i)
    {
        if (i + 1 < jobs_.size())
            push(jobs_[i + 1].arrival, event::what::arrival, i + 1);
        auto const& it = jobs_[i];
        auto& route = *routers_[it.vm];
        auto const chosen = route.choose(query(it), now_);
        if (!chosen)
        {
            std::fprintf(stderr, "no runner for request %zu\n", i);
            std::abort();
        }
        route.sent(*chosen, {1, i}, query(it), now_);
        runner_of_[i] = index_of_[*chosen];
        elsewhere_[i] = infos_[runner_of_[i]].domain != domain(it.vm);
        auto& model = models_[runner_of_[i]];
        if (model.running < model.slots)
            start(i);
        else
            model.queue.push_back(i);
    }

    void start(std::size_t i)
    {
        auto const& it = jobs_[i];
        auto& model = models_[runner_of_[i]];
        ++model.running;
        started_[i] = now_;
        auto const held = model.prompts.held(it.blocks);
        figures_.blocks += it.blocks.size();
        figures_.held += held;
        double work =
            std::max(it.work * 0.2, it.work - double(held) * block_work_s);
        if (model.adapters.held({&it.adapter, 1}) == 0)
            work += adapter_work_s;
        model.prompts.use(it.blocks);
        model.adapters.use({&it.adapter, 1});
        push(now_ + cache_lag, event::what::cached, i);
        push(now_ + from_seconds(work / model.speed), event::what::done, i);
    }

    void finish(std::size_t i)
    {
        auto const& it = jobs_[i];
        auto& model = models_[runner_of_[i]];
        --model.running;
        if (!model.queue.empty())
        {
            auto const next = model.queue.front();
            model.queue.pop_front();
            start(next);
        }
        double const way = elsewhere_[i] ? other_domain_s : 0.;
        routers_[it.vm]->finished({1, i}, routing::attempt_result::completed,
                                  now_ - it.arrival, now_);
        figures_.waits.push_back(to_seconds(started_[i] - it.arrival));
        figures_.totals.push_back(to_seconds(now_ - it.arrival) + way);
        --left_;
    }

    void take_report(std::size_t i)
    {
        auto const& model = models_[i];
        last_[i] = {double(model.running), double(model.queue.size())};
        push(now_ + report_lag, event::what::report_seen, i);
        push(now_ + report_every, event::what::report, i);
    }

    void show_report(std::size_t i)
    {
        for (auto& it : routers_)
            it->report({infos_[i].id, report_lag, last_[i].running,
                        last_[i].queued, 0., ++sequence_},
                       now_);
    }

    void show_cached(std::size_t i)
    {
        auto const runner = runner_of_[i];
        auto const sequence = ++cache_sequences_[runner];
        if (sequence % events_per_gap == 0)
            return;
        for (auto& it : routers_)
            it->cache_event(
                infos_[runner].id,
                {sequence, routing::cache_event_kind::add, jobs_[i].blocks},
                now_);
    }

    shape shape_;
    trouble trouble_;
    pool_id pool_ = pool_id::of("generate");
    std::vector<runner_model> models_;
    std::vector<routing::runner_info> infos_;
    std::vector<seen_report> last_;
    std::vector<std::uint64_t> cache_sequences_;
    std::vector<std::size_t> runner_of_;
    std::vector<time_point> started_;
    std::vector<bool> elsewhere_;
    absl::flat_hash_map<runner_id, std::size_t> index_of_;
    std::vector<std::unique_ptr<routing::router>> routers_;
    std::vector<job> jobs_;
    std::priority_queue<event> events_;
    figures figures_;
    time_point now_{};
    double total_speed_ = 0.;
    std::size_t left_ = 0;
    std::uint64_t order_ = 0;
    std::uint64_t sequence_ = 0;
};

void compare(shape const& of, trouble what, char const* title)
{
    std::printf("\n%zu runners, %zu VMs, utilisation %.2f, %s, seed %llu\n",
                of.runners, of.vms, of.utilisation, title,
                static_cast<unsigned long long>(of.seed));
    std::printf("%-20s %8s %8s %8s %8s %8s %8s %7s\n", "strategy", "wait50",
                "wait95", "wait99", "done50", "done95", "done99", "cached");
    for (std::size_t i = 0; i < routing::strategy_count; ++i)
    {
        auto const kind = static_cast<routing::strategy_kind>(i);
        auto all = simulation(of, kind, what).run();
        auto const name = routing::name_of(kind);
        std::printf("%-20.*s %8.3f %8.3f %8.3f %8.3f %8.3f %8.3f %6.1f%%\n",
                    static_cast<int>(name.size()), name.data(), all.wait(0.5),
                    all.wait(0.95), all.wait(0.99), all.total(0.5),
                    all.total(0.95), all.total(0.99),
                    100. * double(all.held) / double(all.blocks));
    }
}

} // namespace
} // namespace buckthornvale::bench

int main(int argc, char** argv)
{
    using namespace buckthornvale::bench;
    shape base;
    base.requests =
        argc > 1 ? std::strtoull(argv[1], nullptr, 10) : std::size_t{40'000};
    base.seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
    std::puts("times in seconds, virtual");
    struct size
    {
        std::size_t runners;
        std::size_t vms;
    };
    for (auto const it : {size{10, 8}, size{20, 8}, size{710, 32}})
    {
        auto of = base;
        of.runners = it.runners;
        of.vms = it.vms;
        compare(of, trouble::none, "steady");
    }
    auto of = base;
    compare(of, trouble::slow_runner, "a tenth slows tenfold halfway");
    for (double const utilisation : {0.4, 0.95})
    {
        of.utilisation = utilisation;
        compare(of, trouble::none, "steady");
    }
    return 0;
}
