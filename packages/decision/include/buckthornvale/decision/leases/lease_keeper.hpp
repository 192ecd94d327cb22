#ifndef BUCKTHORNVALE_DECISION_LEASES_LEASE_KEEPER_HPP
#define BUCKTHORNVALE_DECISION_LEASES_LEASE_KEEPER_HPP

#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/core/time.hpp>
#include <buckthornvale/decision/leases/lease_effects.hpp>

#include <absl/types/span.h>
#include <pcg_random.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace buckthornvale::decision::leases
{

struct lease_settings
{
    duration lease_duration = std::chrono::seconds(10);
    duration renew_interval = std::chrono::seconds(3);
    //! No order later than this after the start of the last good renewal.
    duration order_window = std::chrono::seconds(5);
    //! Wait of a new holder before its first order.
    duration first_order_delay = std::chrono::seconds(2);
    //! A store call without an answer is taken as unknown after this time.
    duration call_timeout = std::chrono::seconds(2);
    //! Wait after an unknown answer, half to one and a half of it.
    duration retry_delay = std::chrono::seconds(1);
};

//! Lease of one pool, kept by conditional updates alone: no clock is compared
//! between VMs. Effects are store calls for the shell.
//!
//! An engine that ignores fencing numbers may still run an order of a former
//! holder when that holder pauses between its check and its send for longer
//! than the 7 s between its last order and the successor's first one.
class lease_keeper
{
public:
    lease_keeper(pool_id pool, vm_id self, std::uint64_t incarnation,
                 std::uint64_t seed, lease_settings settings = {});

    //! Whether this VM tries to hold the lease. A holder that no longer wants
    //! it stops its orders at once and gives the lease up.
    void set_wanted(bool wanted, time_point now);

    //! Starts store calls that are due.
    void tick(time_point now, std::vector<lease_effect>& out);

    void handle_answer(lease_answer const& value, time_point now);

    //! To be asked right before each order, with a time read at that moment:
    //! a holder that was paused finds its time over here.
    bool may_send_orders(time_point now) const;

    //! Version of the lease object to send with an order.
    std::optional<std::uint64_t> fencing_token(time_point now) const;

    bool holds() const { return state_ == state::holding; }

    //! Leases lost to another VM.
    std::uint64_t lost_count() const { return lost_count_; }

private:
    enum class state
    {
        observing, //!< another VM may hold it
        holding
    };

    enum class call_kind
    {
        none,
        read,
        acquire,
        renew,
        release
    };

    void start_read(time_point now, std::vector<lease_effect>& out);
    void start_write(call_kind kind, time_point now,
                     std::vector<lease_effect>& out);
    void tick_observing(time_point now, std::vector<lease_effect>& out);
    void tick_holding(time_point now, std::vector<lease_effect>& out);
    void handle_write_applied(std::uint64_t version, time_point now);
    void handle_object_observed(std::uint64_t version, lease_value const& value,
                                time_point now);
    void handle_unknown_outcome(time_point now);
    bool is_own_write(lease_value const& value) const;

    pool_id pool_;
    vm_id self_;
    std::uint64_t incarnation_;
    lease_settings settings_;
    pcg64 random_;
    state state_ = state::observing;
    bool wanted_ = true;

    // The call in flight, and the last write until its outcome is known.
    call_kind call_kind_ = call_kind::none;
    std::uint64_t call_id_ = 0;
    time_point call_started_{};
    call_kind unconfirmed_write_ = call_kind::none;
    std::uint64_t write_nonce_ = 0;
    time_point write_started_{};
    time_point next_call_at_{};

    // What was seen of the object.
    bool has_observed_ = false;
    std::uint64_t version_ = 0;
    time_point version_observed_since_{}; //!< first sight of `version_`
    time_point last_read_started_{};      //!< start of the last read
    bool is_free_ = false;                //!< absent, or given up by its holder

    time_point last_renewal_started_{}; //!< start of the last good write
    time_point orders_allowed_from_{};  //!< earliest order as the holder
    std::uint64_t lost_count_ = 0;
};

//! True when this VM is one of `most` that try to hold a pool's lease, chosen
//! by rendezvous hash over the live VMs; keeps lease calls independent of the
//! number of VMs.
bool is_candidate(vm_id self, pool_id pool, absl::Span<vm_id const> live,
                  std::size_t max_candidates);

} // namespace buckthornvale::decision::leases

#endif
