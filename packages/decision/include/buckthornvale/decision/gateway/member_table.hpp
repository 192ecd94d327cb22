#ifndef BUCKTHORNVALE_DECISION_GATEWAY_MEMBER_TABLE_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_MEMBER_TABLE_HPP

#include <buckthornvale/decision/gateway/rate_share.hpp>
#include <buckthornvale/decision/gateway/runner.hpp>

#include <absl/types/span.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornvale::decision::gateway
{

//! The VMs of the fleet and their reachability. VMs do not exchange periodic
//! heartbeats; a VM is probed only while an answer from it is pending.
class member_table
{
public:
    //! An unreachable VM is suspected for this time. The time doubles with each
    //! consecutive failure, up to the maximum.
    static constexpr duration suspicion_time = std::chrono::seconds(2);
    static constexpr duration max_suspicion_time = std::chrono::seconds(32);

    //! A VM that has been unreachable for this long is removed from the fleet.
    static constexpr duration removal_delay = std::chrono::seconds(30);

    explicit member_table(std::string self) : self_(std::move(self)) {}

    //! Returns the names of the other VMs that are new or have restarted.
    std::vector<std::string> assign(absl::Span<member const> members);
    void suspect(std::string_view name, time_point now);

    //! Records an answer. Returns true if the incarnation differs from the last
    //! one seen, which means that the VM has restarted and lost its state.
    bool record_answer(std::string_view name, std::uint64_t incarnation,
                       time_point now);

    time_point last_answer_time(std::string_view name) const;

    //! Returns the reachable VM that schedules the key, or this VM if no other
    //! is known. VMs with more processor time own more keys.
    std::string const& owner(std::string_view key, time_point now) const;

    //! Place of this VM in an order of all registered VMs that depends on the
    //! key, and is the same on all of them. Whether they are reachable does not
    //! matter, since VMs may differ about that.
    share_position position(std::string_view key) const;

    //! Names of the first VMs in this order, `n` at most.
    std::vector<std::string> first(std::string_view key, std::size_t n) const;

    //! Returns the VMs to remove. Only the first reachable VM in the order of
    //! names returns any, so that the store receives a single request. A VM
    //! that is removed by mistake registers again.
    std::vector<std::string> members_to_remove(time_point now) const;

    member const* find(std::string_view name) const;
    std::string const& self() const { return self_; }
    std::vector<std::string> others() const;

    //! Number of registered VMs, 0 while none is known.
    std::size_t count() const;

private:
    struct entry
    {
        member value;
        time_point suspected_until{};
        time_point unreachable_since{};
        std::uint32_t failures = 0; //!< consecutive
        time_point answered_at{};
        std::uint64_t last_incarnation = 0;
    };

    std::string self_;
    std::map<std::string, entry, std::less<>> members_;
};

} // namespace buckthornvale::decision::gateway

#endif
