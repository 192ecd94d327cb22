#include "vm_list.hpp"

namespace buckthornvale::standins::platform
{

namespace
{

// Bounds the memory of a long run; older states are beyond any lag in use.
constexpr std::size_t kept_states = 1024;

} // namespace

void vm_list::set_lag(std::chrono::milliseconds value)
{
    std::lock_guard const lock(mutex_);
    lag_ = value;
}

void vm_list::put(listed_vm vm, clock::time_point now)
{
    std::lock_guard const lock(mutex_);
    auto next = states_.empty() ? by_id{} : states_.back().second;
    if (vm.state == "gone")
        next.erase(vm.id);
    else
        next[vm.id] = std::move(vm);
    append(std::move(next), now);
}

void vm_list::replace(std::vector<listed_vm> vms, clock::time_point now)
{
    std::lock_guard const lock(mutex_);
    by_id next;
    for (auto& it : vms)
    {
        auto id = it.id;
        next[std::move(id)] = std::move(it);
    }
    append(std::move(next), now);
}

std::vector<listed_vm> vm_list::list(clock::time_point now) const
{
    std::lock_guard const lock(mutex_);
    std::vector<listed_vm> vms;
    for (auto state = states_.rbegin(); state != states_.rend(); ++state)
    {
        if (state->first > now - lag_)
            continue;
        for (auto const& [id, vm] : state->second)
            vms.push_back(vm);
        break;
    }
    return vms;
}

void vm_list::append(by_id next, clock::time_point now)
{
    states_.emplace_back(now, std::move(next));
    if (states_.size() > kept_states)
        states_.pop_front();
}

} // namespace buckthornvale::standins::platform
