#include <buckthornvale/objects/budget/shared_store_budget.hpp>

namespace buckthornvale::objects
{

decision::time_point monotonic_now()
{
    return decision::time_point(
        std::chrono::steady_clock::now().time_since_epoch());
}

void shared_store_budget::set_live_vms(std::size_t live_vms)
{
    std::lock_guard const lock(mutex_);
    budget_.set_live_vms(live_vms, monotonic_now());
}

call_permit shared_store_budget::acquire(call_purpose purpose,
                                         call_direction direction)
{
    std::lock_guard const lock(mutex_);
    return budget_.acquire(purpose, direction, monotonic_now());
}

void shared_store_budget::succeeded(call_purpose purpose)
{
    std::lock_guard const lock(mutex_);
    budget_.succeeded(purpose);
}

void shared_store_budget::failed(call_purpose purpose)
{
    std::lock_guard const lock(mutex_);
    budget_.failed(purpose, monotonic_now());
}

void shared_store_budget::offer_status(std::string value)
{
    std::lock_guard const lock(mutex_);
    budget_.offer_status(std::move(value));
}

std::optional<std::string> shared_store_budget::take_status()
{
    std::lock_guard const lock(mutex_);
    return budget_.take_status(monotonic_now());
}

call_counters shared_store_budget::counters(call_purpose purpose) const
{
    std::lock_guard const lock(mutex_);
    return budget_.counters(purpose);
}

} // namespace buckthornvale::objects
