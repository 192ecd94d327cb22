#include "fault_gate.hpp"

#include <algorithm>

namespace buckthornvale::standins::platform
{

std::string_view name_of(call_kind kind)
{
    constexpr std::array<std::string_view, call_kind_count> names = {
        "get", "put", "delete", "list", "watch", "vms"};
    return names[static_cast<std::size_t>(kind)];
}

void fault_gate::set_outage(bool value)
{
    std::lock_guard const lock(mutex_);
    is_outage_ = value;
}

void fault_gate::set_object_outage(bool value)
{
    std::lock_guard const lock(mutex_);
    is_object_outage_ = value;
}

void fault_gate::set_delay(std::chrono::milliseconds value)
{
    std::lock_guard const lock(mutex_);
    delay_ = value;
}

void fault_gate::set_budget(call_budget value)
{
    std::lock_guard const lock(mutex_);
    budget_ = value;
    // A new budget starts with one second's worth.
    reads_ = {value.reads_per_second, clock::now()};
    writes_ = {value.writes_per_second, clock::now()};
}

void fault_gate::set_lost_answers(std::int64_t count)
{
    std::lock_guard const lock(mutex_);
    lost_answers_ = count;
}

admission fault_gate::enter(call_kind kind, clock::time_point now)
{
    std::lock_guard const lock(mutex_);
    ++counts_.by_kind[static_cast<std::size_t>(kind)];
    if (is_outage_ || (is_object_outage_ && kind != call_kind::vms))
    {
        ++counts_.refused_by_outage;
        return admission::outage;
    }
    bool const is_write = kind == call_kind::put || kind == call_kind::remove;
    auto& tokens = is_write ? writes_ : reads_;
    auto const rate =
        is_write ? budget_.writes_per_second : budget_.reads_per_second;
    if (rate > 0. && !tokens.take(rate, now))
    {
        ++counts_.refused_by_budget;
        return admission::over_budget;
    }
    return admission::pass;
}

bool fault_gate::loses_answer()
{
    std::lock_guard const lock(mutex_);
    if (lost_answers_ == 0)
        return false;
    if (lost_answers_ > 0)
        --lost_answers_;
    ++counts_.lost_answers;
    return true;
}

bool fault_gate::is_outage() const
{
    std::lock_guard const lock(mutex_);
    return is_outage_ || is_object_outage_;
}

std::chrono::milliseconds fault_gate::delay() const
{
    std::lock_guard const lock(mutex_);
    return delay_;
}

call_counts fault_gate::counts() const
{
    std::lock_guard const lock(mutex_);
    return counts_;
}

bool fault_gate::bucket::take(double rate, clock::time_point now)
{
    std::chrono::duration<double> const elapsed = now - filled;
    filled = now;
    tokens = std::min(std::max(rate, 1.), tokens + elapsed.count() * rate);
    if (tokens < 1.)
        return false;
    tokens -= 1.;
    return true;
}

} // namespace buckthornvale::standins::platform
