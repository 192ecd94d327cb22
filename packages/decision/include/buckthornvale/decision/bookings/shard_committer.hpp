#ifndef BUCKTHORNVALE_DECISION_BOOKINGS_SHARD_COMMITTER_HPP
#define BUCKTHORNVALE_DECISION_BOOKINGS_SHARD_COMMITTER_HPP

#include <buckthornvale/decision/bookings/booking_effects.hpp>
#include <buckthornvale/decision/bookings/booking_settings.hpp>
#include <buckthornvale/decision/bookings/shard_document.hpp>

#include <absl/container/flat_hash_map.h>
#include <pcg_random.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace buckthornvale::decision::bookings
{

//! Answer to an update, with the VM that submitted the update.
struct committed_update
{
    vm_id origin;
    update_answer answer;
};

//! Counters of the committer.
struct committer_counters
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t written_updates = 0; //!< updates contained in those writes
    std::uint64_t written_bytes = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t unknown_writes = 0;
    std::uint64_t damaged = 0; //!< values that could not be parsed
};

//! Commits updates of claims to shard objects: many updates per conditional
//! write, one store call in flight per shard. Correctness rests on the
//! conditional update alone, so any number of VMs may commit the same shard.
class shard_committer
{
public:
    shard_committer(booking_settings const& settings, std::uint64_t seed);

    //! Submits an update. Each update gets one answer in `done`, immediately or
    //! later. A claim that is not settled when it expires is answered as
    //! unavailable if it is proven not written, otherwise as unsettled.
    void submit(shard_update const& update, vm_id origin, time_point expires,
                time_point now, booking_effects& out,
                std::vector<committed_update>& done);

    //! Returns false if the token does not belong to this committer.
    bool store_answer(bookings::store_answer const& answer, time_point now,
                      booking_effects& out,
                      std::vector<committed_update>& done);

    //! Starts due store calls and retries, and expires claims past their
    //! deadline.
    void tick(time_point now, booking_effects& out,
              std::vector<committed_update>& done);

    //! Time until the shard is retried after a failure.
    duration retry_after(shard_address address, time_point now) const;

    committer_counters const& counters() const { return counters_; }
    std::size_t shards_in_memory() const { return shards_.size(); }
    std::size_t cached_bytes() const;

private:
    enum class phase : std::uint8_t
    {
        idle,
        reading,
        writing,
        verifying //!< a write's answer was lost; the object is read back to
                  //!< find its nonces
    };

    struct waiting_update
    {
        shard_update update;
        vm_id origin;
        time_point queued_at{};
        time_point expires{};
        //! Version that a write of unknown outcome was conditional on. Until
        //! the object is seen at another version, that write may still take
        //! effect.
        std::optional<std::uint64_t> uncertain_version;
    };

    struct shard_state
    {
        phase current_phase = phase::idle;
        std::optional<shard_document> document;
        std::uint64_t version = 0;
        time_point validated_at{}; //!< when the document last matched the store
        time_point last_used{};
        std::vector<waiting_update> queue;
        std::vector<waiting_update> batch; //!< contained in the write in flight
        store_token token = 0;
        time_point call_started{};
        time_point next_write_at{}; //!< by the rate limit of writes
        time_point retry_at{};      //!< backoff after a failure
        int failures = 0;
    };

    using answers = std::vector<committed_update>;

    void start_next_call(shard_address address, shard_state& state,
                         time_point now, booking_effects& out, answers& done);
    bool is_due(shard_state const& state, time_point now) const;
    bool needs_read(shard_state const& state, time_point now) const;
    void start_read(shard_address address, shard_state& state, phase next,
                    time_point now, booking_effects& out);
    //! Applies one waiting update; returns true if the document must be written
    //! because of it.
    bool apply_waiting(shard_state& state, waiting_update& it, bool modified,
                       answers& done);
    void start_write(shard_address address, shard_state& state, time_point now,
                     booking_effects& out, answers& done);
    void read_done(shard_state& state, bookings::store_answer const& answer,
                   time_point now, answers& done);
    void write_done(shard_state& state, bookings::store_answer const& answer,
                    time_point now, answers& done);
    bool load_document(shard_state& state, std::uint64_t version,
                       std::string const& value, bool absent, time_point now,
                       answers& done);
    //! Answers the waiting claims that the stored document already decides.
    void answer_decided(shard_state& state, answers& done);
    void requeue_batch(shard_state& state);
    void back_off(shard_state& state, time_point now, answers& done);
    void reject_unwritten(shard_state& state, update_verdict verdict,
                          answers& done);
    void expire_claims(shard_state& state, time_point now, answers& done);
    void evict(time_point now);

    booking_settings settings_;
    pcg32 random_;
    store_token next_token_ = 0;
    absl::flat_hash_map<shard_address, shard_state> shards_;
    absl::flat_hash_map<store_token, shard_address> calls_;
    committer_counters counters_;
};

} // namespace buckthornvale::decision::bookings

#endif
