#include <buckthornvale/decision/gateway/retry_ledger.hpp>

#include <algorithm>

namespace buckthornvale::decision::gateway
{

namespace
{

//! Part of the slack that is handed out; the rest covers VMs that have joined
//! and are not yet counted by the others.
constexpr double slack_share = 0.75;

} // namespace

std::int64_t retry_ledger::slot_number(time_point now) const
{
    return now.time_since_epoch() / (limits_.window / slot_count);
}

retry_ledger::slot& retry_ledger::slot_at(slots& of, time_point now) const
{
    auto const number = slot_number(now);
    auto& out = of[static_cast<std::size_t>(number) % of.size()];
    if (out.number != number)
        out = {number, 0, 0};
    return out;
}

void retry_ledger::count_request(std::string_view service, time_point now)
{
    ++slot_at(services_[std::string(service)], now).requests;
}

bool retry_ledger::take(std::string_view service, std::size_t vm_count,
                        time_point now)
{
    auto& of = services_[std::string(service)];
    auto& present = slot_at(of, now);
    std::uint64_t requests = 0;
    std::uint64_t extras = 0;
    for (auto const& it : of)
    {
        if (it.number <= present.number - std::int64_t(of.size()))
            continue;
        requests += it.requests;
        extras += it.extras;
    }
    double const vms = std::max<double>(1, double(vm_count));
    double const allowed =
        limits_.ratio * double(requests) + slack_share * limits_.slack / vms;
    if (double(extras) + 1 > allowed)
        return false;
    ++present.extras;
    return true;
}

} // namespace buckthornvale::decision::gateway
