#include <buckthornvale/decision/gateway/retry_budget.hpp>

#include <algorithm>

namespace buckthornvale::decision::gateway
{

namespace
{

//! Share of the slack that is used. The rest covers VMs that have joined and
//! that the others do not count yet.
constexpr double usable_slack_share = 0.75;

} // namespace

std::int64_t retry_budget::bucket_number(time_point now) const
{
    return now.time_since_epoch() / (limits_.window / bucket_count);
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

bool retry_budget::try_consume(std::string_view service, std::size_t vm_count,
                               time_point now)
{
    auto& buckets = services_[std::string(service)];
    auto& current = bucket_at(buckets, now);
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    for (auto const& it : buckets)
    {
        if (it.number <= current.number - std::int64_t(buckets.size()))
            continue;
        requests += it.requests;
        retries += it.retries;
    }
    double const vms = std::max<double>(1, double(vm_count));
    double const allowed = limits_.ratio * double(requests) +
                           usable_slack_share * limits_.slack / vms;
    if (double(retries) + 1 > allowed)
        return false;
    ++current.retries;
    return true;
}

} // namespace buckthornvale::decision::gateway
