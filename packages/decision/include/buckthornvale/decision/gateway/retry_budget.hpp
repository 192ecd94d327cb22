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

//! Limits on retries for each service and window, summed over all VMs. Every
//! send of a request after its first one counts as a retry.
struct retry_budget_limits
{
    double ratio = 0.1; //!< retries per request in the window
    double slack = 0;   //!< additional retries of the whole fleet
    duration window = std::chrono::seconds(10);
};

//! This VM's share of the retry budget: the ratio applies to its own requests,
//! and it gets an equal part of the slack. The limit on the sum over all VMs
//! holds even while they cannot communicate.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_limits limits) : limits_(limits) {}

    void count_request(std::string_view service, time_point now);

    //! Consumes one retry. Returns false if the share is exhausted.
    bool try_consume(std::string_view service, std::size_t vm_count,
                     time_point now);

private:
    static constexpr std::size_t bucket_count = 20;

    //! Counters of one interval of the window.
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
