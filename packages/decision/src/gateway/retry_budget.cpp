#include <buckthornvale/decision/gateway/retry_budget.hpp>

#include <algorithm>

namespace buckthornvale::decision::gateway
{

namespace
{

using namespace std::chrono_literals;

//! Share of the slack that is used. The rest covers VMs that have joined and
//! that the others do not count yet.
constexpr double usable_slack_share = 0.75;

//! Shorter windows are rounded up to this one.
constexpr duration min_window = 1s;

//! Longest time from the decision to retry until the retry reaches its runner.
constexpr duration max_send_delay = 400ms;

} // namespace

retry_budget::retry_budget(retry_budget_limits limits, time_point started_at)
    : limits_(limits), started_at_(started_at)
{
    limits_.window = std::max(limits_.window, min_window);
}

std::int64_t retry_budget::bucket_number(time_point now) const
{
    return now.time_since_epoch() / (limits_.window / window_buckets);
}

retry_budget::bucket& retry_budget::bucket_at(bucket_ring& buckets,
                                              time_point now) const
{
    auto const number = bucket_number(now);
    auto& out = buckets[static_cast<std::size_t>(number) % buckets.size()];
    if (out.number != number)
        out = {number, 0, 0};
    return out;
}

void retry_budget::count_request(std::string_view service, time_point now)
{
    ++bucket_at(services_[std::string(service)], now).requests;
}

retry_budget::history retry_budget::history_of(bucket_ring const& buckets,
                                               std::int64_t newest)
{
    history out;
    for (std::int64_t n = 0; n < history_buckets; ++n)
    {
        auto const number = newest - history_buckets + 1 + n;
        auto const& it =
            buckets[static_cast<std::size_t>(number) % buckets.size()];
        bool const current = it.number == number;
        auto const at = static_cast<std::size_t>(n);
        out.requests[at + 1] = out.requests[at] + (current ? it.requests : 0);
        out.retries[at + 1] = out.retries[at] + (current ? it.retries : 0);
    }
    return out;
}

double retry_budget::sum(prefix_sums const& of, std::int64_t from,
                         std::int64_t to)
{
    auto const before_last = [&](std::int64_t n)
    { return of[std::size_t(std::max(history_buckets - n, std::int64_t{0}))]; };
    return double(before_last(to) - before_last(from));
}

double retry_budget::slack_share(std::size_t vm_count, time_point now) const
{
    if (vm_count == 0 || now - started_at_ < limits_.window + max_send_delay)
        return 0;
    return usable_slack_share * limits_.slack / double(vm_count);
}

bool retry_budget::try_consume(std::string_view service, std::size_t vm_count,
                               time_point now)
{
    auto& buckets = services_[std::string(service)];
    auto& current = bucket_at(buckets, now);
    auto const sums = history_of(buckets, current.number);
    auto const slack = slack_share(vm_count, now);
    auto const delay_buckets =
        (max_send_delay * window_buckets + limits_.window - duration(1)) /
        limits_.window;
    // The window that ends now is not the only one that the retry falls into:
    // later ones contain it beside fewer of the requests known now. Each is
    // checked as if no further request arrived. Its first and last bucket can
    // lie partly outside, so they count for retries only.
    for (std::int64_t later = 0; later < window_buckets; ++later)
    {
        std::int64_t const inside = window_buckets - later;
        double requests = 0;
        for (auto const offset : window_offsets)
            requests = std::max(requests,
                                sum(sums.requests, inside + offset - 1,
                                    offset > later ? offset - later + 1 : 0));
        auto const retries = sum(sums.retries, inside + 1 + delay_buckets, 0);
        if (retries + 1 > limits_.ratio * requests + slack)
            return false;
    }
    ++current.retries;
    return true;
}

} // namespace buckthornvale::decision::gateway
