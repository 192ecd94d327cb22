#include "limit_simulation.hpp"

#include "uniform.hpp"

#include <algorithm>

namespace buckthornvale::decision::gateway
{

namespace
{

using namespace std::chrono_literals;

constexpr duration step = 10ms;
constexpr duration answer_time = 60ms;
constexpr duration max_delivery_delay = 40ms;
constexpr duration tick_interval = 100ms;
constexpr duration settle_time = 3s;

//! The allowed bound.
constexpr duration rule_window = 4s;
constexpr double rule_factor = 1.5;
constexpr double rule_slack = 5;
constexpr duration rule_told_before = 500ms;

constexpr duration message_delay = 5ms;

constexpr cold_start_bounds cold_bounds{1.5, 5};

std::string vm_name(std::size_t n)
{
    return "vm-" + std::to_string(n);
}

std::size_t vm_number_of(std::string const& name)
{
    return std::stoul(name.substr(vm_name(0).size() - 1));
}

std::shared_ptr<manifest> make_manifest(double cold_per_s)
{
    auto out = std::make_shared<manifest>();
    out->version = 1;
    service plain;
    plain.name = "plain";
    plain.cold_requests_per_s = cold_per_s;
    out->services[plain.name] = plain;
    route it;
    it.name = it.path_prefix = "/read/";
    it.host = "h";
    it.kind = request_kind::idempotent;
    it.timeout = 2s;
    it.target_latency = 100ms;
    it.services = {{"plain", 1}};
    it.max_attempts = 2;
    out->add_route(it);
    return out;
}

} // namespace

limit_simulation::limit_simulation(limit_scenario scenario)
    : scenario_(std::move(scenario)), random_(scenario_.seed)
{
    for (std::size_t n = 0; n < scenario_.runner_count; ++n)
    {
        runner it;
        it.id = "runner-" + std::to_string(n);
        it.service = "plain";
        it.address = "10.0.0." + std::to_string(n) + ":80";
        it.slots = 64;
        it.failure_domain = n < scenario_.runner_count / 2 ? "north" : "south";
        it.started_at_ms = 1;
        registrations_.push_back(it);
        runners_.push_back({it.id, -1, {}, {}, {}, {}});
    }
    for (std::size_t n = 0; n < scenario_.vm_count; ++n)
    {
        vms_.emplace_back();
        start_vm(n);
    }
    list_members();
}

void limit_simulation::start_vm(std::size_t n)
{
    auto& it = vms_[n];
    gateway_settings settings;
    settings.vm_name = vm_name(n);
    settings.drain_timeout = 2s;
    settings.settle_time = settle_time;
    settings.retries = {0.2, 56, 10s};
    settings.cold_starts = cold_bounds;
    it.logic = std::make_unique<reducer>(settings);
    for (auto& runner : runners_)
        runner.told.erase(n);
    feed(n, manifest_changed{make_manifest(scenario_.cold_per_s)});
    feed(n, runners_listed{registrations_});
}

void limit_simulation::list_members()
{
    members_listed list;
    for (std::size_t n = 0; n < vms_.size(); ++n)
        list.members.push_back(
            {vm_name(n), "10.0.1.1:80", "north", vms_[n].restarts + 1, 1});
    publish(list);
}

void limit_simulation::publish(event const& input)
{
    for (std::size_t n = 0; n < vms_.size(); ++n)
        if (scenario_.max_update_delay == duration::zero())
            feed(n, input);
        else
            messages_.emplace(
                now_ + from_seconds(uniform(random_) *
                                    to_seconds(scenario_.max_update_delay)),
                std::make_pair(n, input));
}

void limit_simulation::feed(std::size_t vm_number, event const& input)
{
    for (auto const& it : vms_[vm_number].logic->reduce(input, now_))
    {
        if (auto const* sent = std::get_if<send_attempt>(&it))
            send(vm_number, *sent);
        if (auto const* message = std::get_if<send_to_peer>(&it))
            messages_.emplace(now_ + message_delay,
                              std::make_pair(vm_number_of(message->member),
                                             peer_sent{vm_name(vm_number),
                                                       {message->message}}));
        if (auto const* done = std::get_if<deliver_answer>(&it))
            served_.push_back(open_[done->request]);
    }
}

void limit_simulation::send(std::size_t vm_number, send_attempt const& in)
{
    auto const number = std::size_t(std::stoul(in.runner_id.substr(7)));
    auto const at =
        now_ + from_seconds(uniform(random_) * to_seconds(max_delivery_delay));
    runners_[number].arrivals.push_back({at, vm_number, now_});
    answers_.emplace(at + answer_time,
                     pending_answer{vm_number, vms_[vm_number].restarts, number,
                                    in.request, in.attempt});
}

void limit_simulation::answer(pending_answer const& in)
{
    if (vms_[in.vm].restarts != in.restarts)
        return;
    auto& from = runners_[in.runner];
    runner_notified notice;
    notice.runner_id = from.id;
    if (from.limit_per_s >= 0)
    {
        notice.rate_limit = {named_rate_limit::kind::limit, from.limit_per_s};
        from.told.try_emplace(in.vm, now_);
    }
    if (notice.rate_limit.what == named_rate_limit::kind::limit ||
        vms_[in.vm].logic->is_rate_limited(from.id))
        feed(in.vm, notice);
    attempt_ended ended;
    ended.request = in.request;
    ended.attempt = in.attempt;
    ended.transport = transport_end::complete;
    ended.identified = true;
    ended.status = 200;
    ended.sealed = true;
    feed(in.vm, ended);
}

bool limit_simulation::is_limited(std::size_t runner) const
{
    return double(runner) < scenario_.limited_share * double(runners_.size());
}

void limit_simulation::change_limits(duration elapsed)
{
    auto& changes = scenario_.limits;
    while (!changes.empty() && changes.front().at <= elapsed)
    {
        for (std::size_t n = 0; n < runners_.size(); ++n)
            if (is_limited(n))
            {
                runners_[n].limit_per_s = changes.front().limit_per_s;
                runners_[n].history.push_back(changes.front());
            }
        changes.erase(changes.begin());
    }
}

void limit_simulation::set_cold(std::size_t runner, duration time_left)
{
    registrations_[runner].cold_time_left = time_left;
    publish(runner_changed{registrations_[runner]});
}

void limit_simulation::change_cold(duration elapsed)
{
    for (std::size_t n = 0; n < runners_.size() && is_limited(n); ++n)
    {
        auto& history = runners_[n].cold_history;
        if (registrations_[n].cold_time_left > duration::zero() &&
            elapsed >= history.back().at + history.back().length)
            set_cold(n, duration::zero());
        if (scenario_.cold.size() <= history.size() ||
            scenario_.cold[history.size()].at > elapsed)
            continue;
        history.push_back(scenario_.cold[history.size()]);
        set_cold(n, history.back().length);
    }
}

void limit_simulation::evacuate(duration elapsed)
{
    if (scenario_.evacuate_at == duration::zero() ||
        elapsed < scenario_.evacuate_at)
        return;
    scenario_.evacuate_at = duration::zero();
    publish(evacuation_changed{"south", true});
}

void limit_simulation::change_fleet(duration elapsed)
{
    auto& restarts = scenario_.restarts;
    if (!restarts.empty() && restarts.front() <= elapsed)
    {
        restarts.erase(restarts.begin());
        for (std::size_t n = 0; n < vms_.size(); n += 4)
        {
            ++vms_[n].restarts;
            start_vm(n);
        }
        list_members();
    }
    if (scenario_.join_at > duration::zero() && scenario_.join_at <= elapsed)
    {
        scenario_.join_at = {};
        for (std::size_t n = 0; n < scenario_.vm_count; ++n)
        {
            vms_.emplace_back();
            start_vm(vms_.size() - 1);
        }
        list_members();
    }
}

void limit_simulation::make_requests()
{
    double const mean = scenario_.requests_per_s * to_seconds(step);
    int n = int(mean);
    n += uniform(random_) < mean - n ? 1 : 0;
    for (; n > 0; --n)
    {
        request_arrived in;
        in.request = ++last_request_;
        in.traits.id = "id-" + std::to_string(last_request_);
        in.traits.method = "GET";
        in.traits.host = "h";
        in.traits.path = "/read/x";
        in.traits.time_left = 1500ms;
        requests_.push_back(now_);
        open_[in.request] = now_;
        // VMs get uneven parts of the traffic.
        double const place = uniform(random_) * uniform(random_);
        feed(std::size_t(place * double(vms_.size())), in);
    }
}

void limit_simulation::deliver_due()
{
    while (!answers_.empty() && answers_.begin()->first <= now_)
    {
        auto const due = answers_.begin()->second;
        answers_.erase(answers_.begin());
        answer(due);
    }
    while (!messages_.empty() && messages_.begin()->first <= now_)
    {
        auto const due = std::move(messages_.begin()->second);
        messages_.erase(messages_.begin());
        feed(due.first, due.second);
    }
}

void limit_simulation::run(duration length)
{
    time_point next_tick = now_;
    while (now_ < start_ + length)
    {
        change_limits(now_ - start_);
        change_fleet(now_ - start_);
        change_cold(now_ - start_);
        evacuate(now_ - start_);
        deliver_due();
        make_requests();
        if (now_ >= next_tick)
        {
            next_tick = now_ + tick_interval;
            for (std::size_t n = 0; n < vms_.size(); ++n)
                feed(n, timer_fired{now_});
        }
        now_ += step;
    }
}

double limit_simulation::excess(runner_model const& it) const
{
    double out = -rule_slack;
    for (std::size_t change = 0; change < it.history.size(); ++change)
    {
        double const limit = it.history[change].limit_per_s;
        if (limit < 0)
            continue;
        auto const from = start_ + it.history[change].at + settle_time;
        auto const until = change + 1 < it.history.size()
                               ? start_ + it.history[change + 1].at
                               : now_;
        std::vector<time_point> counted;
        for (auto const& arrived : it.arrivals)
        {
            auto const told = it.told.find(arrived.vm);
            if (told != it.told.end() && arrived.at >= from &&
                arrived.at < until &&
                arrived.at - told->second >= rule_told_before)
                counted.push_back(arrived.at);
        }
        std::sort(counted.begin(), counted.end());
        for (auto first = counted.begin(); first != counted.end(); ++first)
        {
            auto const n =
                std::upper_bound(first, counted.end(), *first + rule_window) -
                first;
            double const allowed =
                rule_factor * limit * to_seconds(rule_window) + rule_slack;
            out = std::max(out, double(n) - allowed);
        }
    }
    return out;
}

double limit_simulation::largest_excess() const
{
    double out = -rule_slack;
    for (auto const& it : runners_)
        out = std::max(out, excess(it));
    return out;
}

std::size_t limit_simulation::most_while_cold() const
{
    std::size_t out = 0;
    for (auto const& it : runners_)
        for (auto const& period : it.cold_history)
        {
            auto const from = start_ + period.at + scenario_.max_update_delay;
            auto const until = start_ + period.at + period.length;
            for (auto const& first : it.arrivals)
            {
                auto const end = first.sent_at + 1s;
                if (first.sent_at < from || end > until)
                    continue;
                auto const n = std::count_if(
                    it.arrivals.begin(), it.arrivals.end(),
                    [&](arrival const& a)
                    { return a.sent_at >= first.sent_at && a.at <= end; });
                out = std::max(out, std::size_t(n));
            }
        }
    return out;
}

double limit_simulation::use_of_limits(duration from) const
{
    double got = 0;
    double limit = 0;
    for (auto const& it : runners_)
    {
        if (it.history.empty())
            continue;
        limit +=
            it.history.back().limit_per_s * to_seconds(now_ - start_ - from);
        got += double(std::count_if(it.arrivals.begin(), it.arrivals.end(),
                                    [&](arrival const& a)
                                    { return a.at >= start_ + from; }));
    }
    return limit > 0 ? got / limit : 0;
}

double limit_simulation::vms_with_limit() const
{
    std::size_t out = 0;
    for (auto const& it : vms_)
        out += it.logic->rate_limited_runners();
    return double(out) / double(runners_.size());
}

double limit_simulation::served_share(duration from) const
{
    auto const count = [&](std::vector<time_point> const& times)
    {
        return double(std::count_if(times.begin(), times.end(),
                                    [&](time_point at)
                                    { return at >= start_ + from; }));
    };
    return count(served_) / count(requests_);
}

} // namespace buckthornvale::decision::gateway
