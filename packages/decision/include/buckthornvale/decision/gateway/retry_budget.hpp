#ifndef BUCKTHORNVALE_DECISION_GATEWAY_RETRY_BUDGET_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_RETRY_BUDGET_HPP

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
struct retry_budget_limits
{
    double ratio = 0.1; //!< per request of the window
    double slack = 0;   //!< of the whole fleet, on top
    duration window = std::chrono::seconds(10);
};

//! This VM's share of the bound: the ratio on its own requests, and an equal
//! part of the slack. The sum over VMs holds while they cannot hear each other.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_limits limits) : limits_(limits) {}

    void count_request(std::string_view service, time_point now);

    //! Takes one extra send; false when the share is used up.
    bool try_consume(std::string_view service, std::size_t vm_count,
                     time_point now);

private:
    static constexpr std::size_t bucket_count = 20;

    //! Counts of a part of the window.
    struct bucket
    {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };
    using bucket_ring = std::array<bucket, bucket_count + 1>;

    bucket& bucket_at(bucket_ring& buckets, time_point now) const;
    std::int64_t bucket_number(time_point now) const;

    retry_budget_limits limits_;
    std::map<std::string, bucket_ring, std::less<>> services_;
};

} // namespace buckthornvale::decision::gateway

#endif
