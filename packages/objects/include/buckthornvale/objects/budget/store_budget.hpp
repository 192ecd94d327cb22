#ifndef BUCKTHORNVALE_OBJECTS_BUDGET_STORE_BUDGET_HPP
#define BUCKTHORNVALE_OBJECTS_BUDGET_STORE_BUDGET_HPP

#include <buckthornvale/decision/core/time.hpp>

#include <pcg_random.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace buckthornvale::objects
{

//! Kinds of store calls, most important first.
enum class call_purpose
{
    claim,
    settings,
    vm_list, //!< of a service apart from the objects, so it backs off alone
    lease,
    status
};

constexpr std::size_t call_purpose_count = 5;

std::string_view name_of(call_purpose purpose);

enum class call_direction
{
    read,
    write
};

//! Budget of the whole fleet and how a VM uses its part.
struct store_budget_settings
{
    // 80% of 2,000 reads/s and of 300 writes/s, design 6.
    double fleet_reads_per_second = 1600.;
    double fleet_writes_per_second = 240.;
    decision::duration burst = std::chrono::seconds(2); //!< saved budget
    decision::duration backoff_base = std::chrono::milliseconds(100);
    decision::duration backoff_limit = std::chrono::seconds(10);
    decision::duration status_period = std::chrono::seconds(5);
};

//! Whether a call may start now, and if not, when to ask again.
struct call_permit
{
    bool is_granted = false;
    decision::duration retry_after{};
};

//! Counters of one purpose.
struct call_counters
{
    std::uint64_t granted = 0;
    std::uint64_t deferred = 0;  //!< permits refused
    std::uint64_t failed = 0;    //!< calls that failed
    std::uint64_t coalesced = 0; //!< status values replaced before a write
};

//! This VM's part of the store's budget. Reads and writes have one token
//! bucket each; a share of a bucket that grows with importance is kept for the
//! more important purposes. A purpose whose calls fail backs off with
//! jitter. Not thread-safe.
class store_budget
{
public:
    store_budget(store_budget_settings const& settings, std::uint64_t seed);

    //! Divides the fleet's budget by the live VMs (at least 1).
    void set_live_vms(std::size_t live_vms, decision::time_point now);

    call_permit acquire(call_purpose purpose, call_direction direction,
                        decision::time_point now);

    void succeeded(call_purpose purpose);

    //! The call failed or was refused; the next permit comes after a delay
    //! that doubles with each failure, between half and all of it.
    void failed(call_purpose purpose, decision::time_point now);

    //! Sets the value of this VM's status object. A value that was not taken
    //! yet is replaced.
    void offer_status(std::string value);

    //! The latest status when it is due and its write is granted.
    std::optional<std::string> take_status(decision::time_point now);

    call_counters const& counters(call_purpose purpose) const;

private:
    struct bucket
    {
        double rate = 0.;     //!< tokens per second
        double capacity = 0.; //!< most tokens
        double tokens = 0.;
        decision::time_point last_refill{};

        void refill(decision::time_point now);
    };
    struct backoff_state
    {
        std::uint32_t failures = 0;
        decision::time_point retry_at{};
    };

    void set_rate(bucket& target, double rate, decision::time_point now) const;

    store_budget_settings settings_;
    pcg64 random_;
    std::array<bucket, 2> buckets_;
    std::array<backoff_state, call_purpose_count> backoffs_;
    std::array<call_counters, call_purpose_count> counters_;
    std::optional<std::string> pending_status_;
    std::optional<decision::time_point> last_status_at_;
};

} // namespace buckthornvale::objects

#endif
