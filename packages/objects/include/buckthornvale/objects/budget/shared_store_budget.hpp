#ifndef BUCKTHORNVALE_OBJECTS_BUDGET_SHARED_STORE_BUDGET_HPP
#define BUCKTHORNVALE_OBJECTS_BUDGET_SHARED_STORE_BUDGET_HPP

#include <buckthornvale/objects/budget/store_budget.hpp>

#include <mutex>

namespace buckthornvale::objects
{

//! Current time of the process's monotonic clock.
decision::time_point monotonic_now();

//! Thread-safe store_budget for a whole process, driven by the monotonic clock.
class shared_store_budget
{
public:
    shared_store_budget(store_budget_settings const& settings,
                        std::uint64_t seed)
        : budget_(settings, seed)
    {
    }

    void set_live_vms(std::size_t live_vms);
    call_permit acquire(call_purpose purpose, call_direction direction);
    void succeeded(call_purpose purpose);
    void failed(call_purpose purpose);
    void offer_status(std::string value);
    std::optional<std::string> take_status();
    call_counters counters(call_purpose purpose) const;

private:
    mutable std::mutex mutex_;
    store_budget budget_;
};

} // namespace buckthornvale::objects

#endif
