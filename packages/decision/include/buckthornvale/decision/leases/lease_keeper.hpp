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
    duration length = std::chrono::seconds(10);
    duration renew_every = std::chrono::seconds(3);
    //! No order later than this after the start of the last good renewal.
    duration order_bound = std::chrono::seconds(5);
    //! Wait of a new holder before its first order.
    duration first_order_wait = std::chrono::seconds(2);
    //! A store call without an answer is taken as unknown after this time.
    duration call_timeout = std::chrono::seconds(2);
    //! Wait after an unknown answer, half to one and a half of it.
    duration retry_wait = std::chrono::seconds(1);
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
    void want(bool wanted, time_point now);

    //! Starts store calls that are due.
    void tick(time_point now, std::vector<lease_effect>& out);

    void answer(lease_answer const& value, time_point now);

    //! To be asked right before each order, with a time read at that moment:
    //! a holder that was paused finds its time over here.
    bool may_order(time_point now) const;

    //! Version of the lease object to send with an order.
    std::optional<std::uint64_t> fencing_number(time_point now) const;

    bool holds() const { return state_ == state::holding; }

    //! Leases lost to another VM.
    std::uint64_t lost() const { return lost_; }

private:
    enum class state
    {
        watching, //!< another VM may hold it
        holding
    };

    enum class call_kind
    {
        none,
        read,
        acquire,
        renew,
        give_up
    };

    void start_read(time_point now, std::vector<lease_effect>& out);
    void start_write(call_kind kind, time_point now,
                     std::vector<lease_effect>& out);
    void tick_watching(time_point now, std::vector<lease_effect>& out);
    void tick_holding(time_point now, std::vector<lease_effect>& out);
    void written(std::uint64_t version, time_point now);
    void observed(std::uint64_t version, lease_value const& value,
                  time_point now);
    void unknown(time_point now);
    bool is_own_write(lease_value const& value) const;

    pool_id pool_;
    vm_id self_;
    std::uint64_t incarnation_;
    lease_settings settings_;
    pcg64 random_;
    state state_ = state::watching;
    bool wanted_ = true;

    // The call in flight, and the last write until its outcome is known.
    call_kind call_kind_ = call_kind::none;
    std::uint64_t call_ = 0;
    time_point call_started_{};
    call_kind open_write_ = call_kind::none;
    std::uint64_t write_nonce_ = 0;
    time_point write_started_{};
    time_point next_call_{};

    // What was seen of the object.
    bool seen_ = false;
    std::uint64_t version_ = 0;
    time_point seen_since_{}; //!< first sight of `version_`
    time_point looked_{};     //!< start of the last read
    bool free_ = false;       //!< absent, or given up by its holder

    time_point renewed_{};     //!< start of the last good write
    time_point first_order_{}; //!< earliest order as the holder
    std::uint64_t lost_ = 0;
};

//! True when this VM is one of `most` that try to hold a pool's lease, chosen
//! by rendezvous hash over the live VMs; keeps lease calls independent of the
//! number of VMs.
bool is_candidate(vm_id self, pool_id pool, absl::Span<vm_id const> live,
                  std::size_t most);

} // namespace buckthornvale::decision::leases

#endif
