#ifndef BUCKTHORNVALE_DECISION_GATEWAY_MEMBER_TABLE_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_MEMBER_TABLE_HPP

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

//! VMs of the fleet, and which of them cannot be reached. There is no periodic
//! heartbeat between VMs: a VM that owes an answer is probed.
class member_table
{
public:
    //! A VM that could not be reached is asked again after this time, which
    //! doubles with each failure up to the longest.
    static constexpr duration suspicion_time = std::chrono::seconds(2);
    static constexpr duration max_suspicion_time = std::chrono::seconds(32);

    //! A VM that nobody reached for this long is taken off the list.
    static constexpr duration removal_delay = std::chrono::seconds(30);

    explicit member_table(std::string self) : self_(std::move(self)) {}

    void assign(absl::Span<member const> members);
    void suspect(std::string_view name, time_point now);

    //! Notes an answer. True when the incarnation differs from the last one
    //! seen, so that the VM has lost what it held.
    bool record_answer(std::string_view name, std::uint64_t incarnation,
                       time_point now);

    time_point last_answer_time(std::string_view name) const;

    //! The reachable VM that schedules the key. VMs with more processor time
    //! own more keys. This VM itself when it knows no other.
    std::string const& owner(std::string_view key, time_point now) const;

    //! VMs to take off the list. Only the first reachable VM by name names any,
    //! so that the store gets one call; a VM that lives registers again.
    std::vector<std::string> members_to_remove(time_point now) const;

    member const* find(std::string_view name) const;
    std::string const& self() const { return self_; }
    std::vector<std::string> others() const;

    //! Registered VMs; at least one.
    std::size_t count() const;

private:
    struct entry
    {
        member value;
        time_point suspected_until{};
        time_point unreachable_since{};
        std::uint32_t failures = 0; //!< in a row
        time_point answered_at{};
        std::uint64_t last_incarnation = 0;
    };

    std::string self_;
    std::map<std::string, entry, std::less<>> members_;
};

} // namespace buckthornvale::decision::gateway

#endif
