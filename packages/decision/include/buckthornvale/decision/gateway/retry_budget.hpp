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
//! send of a request after its first one counts as a retry. The requests are
//! those of the window itself, of the one half a window before it or of the one
//! before it, whichever has the most.
struct retry_budget_limits
{
    double ratio = 0.1; //!< retries per request in the window
    double slack = 0;   //!< additional retries of the whole fleet
    duration window = std::chrono::seconds(10);
};

//! This VM's share of the retry budget: the ratio applies to its own requests,
//! and it gets an equal part of the slack. The limit on the sum over all VMs
//! holds for each position of the window and without communication, if traffic
//! rises and falls alike at all VMs.
class retry_budget
{
public:
    //! A previous process of this VM may have used its part of the slack, so
    //! the new one gets none in the first window after `started_at`.
    explicit retry_budget(retry_budget_limits limits,
                          time_point started_at = {});

    void count_request(std::string_view service, time_point now);

    //! Consumes one retry. Returns false if the share is exhausted. `vm_count`
    //! is the number of VMs that share the slack, 0 if it is unknown.
    bool try_consume(std::string_view service, std::size_t vm_count,
                     time_point now);

private:
    static constexpr std::int64_t window_buckets = 100;
    //! The windows whose requests can count begin this much earlier.
    static constexpr std::array<std::int64_t, 3> window_offsets = {
        0, window_buckets / 2, window_buckets};
    static constexpr std::int64_t history_buckets = 2 * window_buckets + 1;

    //! Counters of one interval.
    struct bucket
    {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };
    using bucket_ring = std::array<bucket, history_buckets>;

    //! Sums over the intervals before one, oldest first.
    using prefix_sums = std::array<std::uint64_t, history_buckets + 1>;

    struct history
    {
        prefix_sums requests{};
        prefix_sums retries{};
    };

    bucket& bucket_at(bucket_ring& buckets, time_point now) const;
    std::int64_t bucket_number(time_point now) const;
    static history history_of(bucket_ring const& buckets, std::int64_t newest);

    //! Sum over the last `from` intervals without the last `to` ones. Older
    //! intervals than there are count as empty.
    static double sum(prefix_sums const& of, std::int64_t from,
                      std::int64_t to);
    double slack_share(std::size_t vm_count, time_point now) const;

    retry_budget_limits limits_;
    time_point started_at_{};
    std::map<std::string, bucket_ring, std::less<>> services_;
};

} // namespace buckthornvale::decision::gateway

#endif
