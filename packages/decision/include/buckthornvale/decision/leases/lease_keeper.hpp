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
    //! Orders are allowed only for this long after the start of the last
    //! successful renewal.
    duration order_window = std::chrono::seconds(5);
    //! Delay between acquiring the lease and the first order.
    duration first_order_delay = std::chrono::seconds(2);
    //! The outcome of a store call without an answer counts as unknown after
    //! this time.
    duration call_timeout = std::chrono::seconds(2);
    //! Delay after an unknown outcome, randomised between 0.5 and 1.5 times
    //! this value.
    duration retry_delay = std::chrono::seconds(1);
};

//! Acquires, renews and releases the lease of one pool through conditional
//! writes alone; clocks of different VMs are never compared. The effects are
//! store calls that the caller executes.
//!
//! An engine that ignores fencing tokens may still run an order of a former
//! holder if that holder pauses between its lease check and the send for longer
//! than the 7 s between its last order and the successor's first one.
class lease_keeper
{
public:
    lease_keeper(pool_id pool, vm_id self, std::uint64_t incarnation,
                 std::uint64_t seed, lease_settings settings = {});

    //! Sets whether this VM tries to hold the lease. When a holder no longer
    //! wants the lease, it may not send orders from then on and releases it.
    void set_wanted(bool wanted, time_point now);

    //! Appends the store calls that are due.
    void tick(time_point now, std::vector<lease_effect>& out);

    void handle_answer(lease_answer const& value, time_point now);

    //! Must be called immediately before each order with the current time, so
    //! that a holder that was paused notices that its order window has ended.
    bool may_send_orders(time_point now) const;

    //! Version of the lease object, sent with each order; empty when no orders
    //! may be sent.
    std::optional<std::uint64_t> fencing_token(time_point now) const;

    bool holds() const { return state_ == state::holding; }

    //! Number of times the lease was lost to another VM.
    std::uint64_t lost_count() const { return lost_count_; }

private:
    enum class state
    {
        observing, //!< not the holder; another VM may be
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

    // The call in flight, and the last write while its outcome is unknown.
    call_kind call_kind_ = call_kind::none;
    std::uint64_t call_id_ = 0;
    time_point call_started_{};
    call_kind unconfirmed_write_ = call_kind::none;
    std::uint64_t write_nonce_ = 0;
    time_point write_started_{};
    time_point next_call_at_{};

    // Last observed state of the lease object.
    bool has_observed_ = false;
    std::uint64_t version_ = 0;
    time_point
        version_observed_since_{};   //!< when `version_` was first observed
    time_point last_read_started_{}; //!< start of the last read call
    bool is_free_ = false;           //!< absent, or released by its holder

    time_point last_renewal_started_{}; //!< start of the last successful
                                        //!< acquisition or renewal
    time_point orders_allowed_from_{};  //!< end of the delay after acquiring
    std::uint64_t lost_count_ = 0;
};

//! True when this VM is one of the `max_candidates` VMs that try to hold a
//! pool's lease. They are chosen by rendezvous hashing over the live VMs, which
//! keeps the number of lease calls independent of the number of VMs.
bool is_candidate(vm_id self, pool_id pool, absl::Span<vm_id const> live,
                  std::size_t max_candidates);

} // namespace buckthornvale::decision::leases

#endif
