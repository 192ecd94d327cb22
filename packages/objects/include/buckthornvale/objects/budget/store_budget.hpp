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

//! Purposes of store calls, in descending order of priority.
enum class call_purpose
{
    claim,
    settings,
    vm_list, //!< served apart from the objects, hence its own backoff
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

//! Request budget of the whole fleet, and how each VM uses its share.
struct store_budget_settings
{
    // 80% of the store's limits of 2,000 reads/s and 300 writes/s, see section
    // 6 of docs/design.md.
    double fleet_reads_per_second = 1600.;
    double fleet_writes_per_second = 240.;
    decision::duration burst = std::chrono::seconds(2); //!< bucket capacity
    decision::duration backoff_base = std::chrono::milliseconds(100);
    decision::duration backoff_limit = std::chrono::seconds(10);
    decision::duration status_period = std::chrono::seconds(5);
};

//! Whether a call may start now and, if not, how long to wait before retrying.
struct call_permit
{
    bool is_granted = false;
    decision::duration retry_after{};
};

//! Call counters of one purpose.
struct call_counters
{
    std::uint64_t granted = 0;
    std::uint64_t deferred = 0; //!< permits denied
    std::uint64_t failed = 0;
    std::uint64_t coalesced = 0; //!< status values replaced before a write
};

//! Rate limiter for this VM's share of the store's request budget. Reads and
//! writes each have a token bucket. The lower the priority of a purpose, the
//! larger the share of the bucket that it must leave to others. A purpose whose
//! calls fail backs off exponentially with jitter. Not thread-safe.
class store_budget
{
public:
    store_budget(store_budget_settings const& settings, std::uint64_t seed);

    //! Sets this VM's share to the fleet's budget divided by the number of live
    //! VMs (at least 1).
    void set_live_vms(std::size_t live_vms, decision::time_point now);

    call_permit acquire(call_purpose purpose, call_direction direction,
                        decision::time_point now);

    void succeeded(call_purpose purpose);

    //! Reports a failed or refused call. The next permit is granted after a
    //! delay that doubles with each failure, randomised to between half and
    //! all of it.
    void failed(call_purpose purpose, decision::time_point now);

    //! Queues a value for this VM's status object, replacing a value that was
    //! not taken yet.
    void offer_status(std::string value);

    //! Returns the queued status if status_period has passed since the last one
    //! and the budget grants the write.
    std::optional<std::string> take_status(decision::time_point now);

    call_counters const& counters(call_purpose purpose) const;

private:
    struct bucket
    {
        double rate = 0.;     //!< tokens per second
        double capacity = 0.; //!< maximum number of tokens
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
