#include "common/faults.hpp"

namespace buckthornvale::standins
{

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    faults, delay_ms, token_delay_ms, refuse, drop_before, drop_after, cross,
    cross_wait_ms, exit_marker, freeze, break_after, skip_index, error_status,
    bad_answer, pad_bytes, load_lag_ms, leaving, ignore_fencing,
    cache_event_delay_ms, cache_event_gap, only_calls)

faults parse_faults(std::string const& body)
{
    auto const given = nlohmann::json::parse(body);
    auto const known = nlohmann::json(faults());
    for (auto const& it : given.items())
        static_cast<void>(known.at(it.key()));
    return given.get<faults>();
}

void fault_switch::set(faults const& value)
{
    std::lock_guard lock(mutex_);
    value_ = value;
    calls_left_ = value.only_calls;
}

faults fault_switch::get() const
{
    std::lock_guard lock(mutex_);
    return value_;
}

faults fault_switch::for_call()
{
    std::lock_guard lock(mutex_);
    auto value = value_;
    if (calls_left_ > 0 && --calls_left_ == 0)
        value_ = faults();
    return value;
}

} // namespace buckthornvale::standins
