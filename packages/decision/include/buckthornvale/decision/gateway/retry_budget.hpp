#ifndef BUCKTHORNVALE_DECISION_GATEWAY_RETRY_LEDGER_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_RETRY_LEDGER_HPP

#include <buckthornvale/decision/core/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace buckthornvale::decision::gateway
{

//! Bound on sends beyond the first of each request, per service and window,
//! summed over all VMs.
struct retry_limits
{
    double ratio = 0.1; //!< per request of the window
    double slack = 0;   //!< of the whole fleet, on top
    duration window = std::chrono::seconds(10);
};

//! This VM's share of the bound: the ratio on its own requests, and an equal
//! part of the slack. The sum over VMs holds while they cannot hear each other.
class retry_ledger
{
public:
    explicit retry_ledger(retry_limits limits) : limits_(limits) {}

    void count_request(std::string_view service, time_point now);

    //! Takes one extra send; false when the share is used up.
    bool take(std::string_view service, std::size_t vm_count, time_point now);

private:
    static constexpr std::size_t slot_count = 20;

    //! Counts of a part of the window.
    struct slot
    {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
        std::uint32_t extras = 0;
    };
    using slots = std::array<slot, slot_count + 1>;

    slot& slot_at(slots& of, time_point now) const;
    std::int64_t slot_number(time_point now) const;

    retry_limits limits_;
    std::map<std::string, slots, std::less<>> services_;
};

} // namespace buckthornvale::decision::gateway

#endif
