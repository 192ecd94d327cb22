#include "retry_simulation.hpp"

#include "uniform.hpp"

#include <algorithm>
#include <utility>

namespace buckthornvale::decision::gateway
{

namespace
{

using namespace std::chrono_literals;

constexpr duration step = 5ms;
constexpr double burst_factor = 2.5;
constexpr int max_retries = 3;

//! Longest time from the decision to retry until the retry is received.
constexpr duration max_delay = 350ms;

//! Time until all VMs know of one that has joined.
constexpr duration join_notice_delay = 1s;

std::ptrdiff_t count_in(std::vector<time_point> const& sorted, time_point begin,
                        time_point end)
{
    return std::upper_bound(sorted.begin(), sorted.end(), end) -
           std::lower_bound(sorted.begin(), sorted.end(), begin);
}

} // namespace

retry_simulation::retry_simulation(retry_scenario scenario)
    : scenario_(std::move(scenario)), random_(scenario_.seed)
{
    add_vms(scenario_.vm_count, start_ - 60s);
}

void retry_simulation::add_vms(std::size_t n, time_point at)
{
    for (std::size_t i = 0; i < n; ++i)
        vms_.push_back(
            {retry_budget(scenario_.limits, at), 0.2 + uniform(random_)});
}

void retry_simulation::restart_vms(time_point at)
{
    for (std::size_t i = 0; i < vms_.size(); i += 3)
        vms_[i].budget = retry_budget(scenario_.limits, at);
}

bool retry_simulation::in_burst(duration elapsed) const
{
    // Bursts that are longer than the window, as long as it and shorter.
    auto const in = [&](duration from, duration length)
    { return elapsed >= from && elapsed < from + length; };
    return in(15s, 14s) || in(45s, 10s) || in(70s, 4s);
}

std::size_t retry_simulation::counted_vms(duration elapsed) const
{
    bool const joined = scenario_.join_at > duration::zero() &&
                        elapsed >= scenario_.join_at + join_notice_delay;
    return scenario_.vm_count * (joined ? 2 : 1);
}

void retry_simulation::serve(time_point now, bool burst)
{
    double total = 0;
    for (auto const& it : vms_)
        total += it.weight;
    double const rate = scenario_.requests_per_s * (burst ? burst_factor : 1) *
                        to_seconds(step);
    double const refused =
        burst ? scenario_.refused_share : scenario_.quiet_refused_share;
    for (auto& it : vms_)
    {
        // A number of requests with the right mean.
        double const mean = rate * it.weight / total;
        int n = int(mean);
        n += uniform(random_) < mean - n ? 1 : 0;
        for (; n > 0; --n)
        {
            it.budget.count_request("s", now);
            requests_.push_back(now);
            for (int k = 0; k < max_retries && uniform(random_) < refused; ++k)
            {
                if (!it.budget.try_consume("s", counted_vms(now - start_), now))
                    break;
                retries_.push_back(now + from_seconds(uniform(random_) *
                                                      to_seconds(max_delay)));
            }
        }
    }
}

void retry_simulation::run(duration length)
{
    auto restarts = scenario_.restarts;
    bool joined = scenario_.join_at == duration::zero();
    for (duration elapsed{}; elapsed < length; elapsed += step)
    {
        if (!restarts.empty() && elapsed >= restarts.front())
        {
            restart_vms(start_ + elapsed);
            restarts.erase(restarts.begin());
        }
        if (!joined && elapsed >= scenario_.join_at)
        {
            add_vms(scenario_.vm_count, start_ + elapsed);
            joined = true;
        }
        serve(start_ + elapsed, in_burst(elapsed));
    }
    std::sort(retries_.begin(), retries_.end());
}

double retry_simulation::allowed_until(time_point end) const
{
    auto const window = scenario_.limits.window;
    std::ptrdiff_t requests = 0;
    for (auto const offset : {duration::zero(), window / 2, window})
        requests = std::max(
            requests, count_in(requests_, end - offset - window, end - offset));
    return scenario_.limits.ratio * double(requests) + scenario_.limits.slack;
}

template <class Visitor>
void retry_simulation::visit_windows(Visitor const& visit) const
{
    // A window with the most retries begins or ends with one.
    for (auto const& it : retries_)
        for (auto const end : {it, it + scenario_.limits.window})
            visit(
                double(count_in(retries_, end - scenario_.limits.window, end)),
                allowed_until(end));
}

double retry_simulation::largest_excess() const
{
    double out = -scenario_.limits.slack;
    visit_windows([&](double used, double allowed)
                  { out = std::max(out, used - allowed); });
    return out;
}

double retry_simulation::largest_use() const
{
    double out = 0;
    visit_windows([&](double used, double allowed)
                  { out = std::max(out, used / allowed); });
    return out;
}

} // namespace buckthornvale::decision::gateway
