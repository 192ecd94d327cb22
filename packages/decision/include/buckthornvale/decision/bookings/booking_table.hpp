#ifndef BUCKTHORNVALE_DECISION_BOOKINGS_BOOKING_TABLE_HPP
#define BUCKTHORNVALE_DECISION_BOOKINGS_BOOKING_TABLE_HPP

#include <buckthornvale/decision/bookings/booking_effects.hpp>
#include <buckthornvale/decision/bookings/booking_settings.hpp>
#include <buckthornvale/decision/bookings/shard_committer.hpp>
#include <buckthornvale/decision/bookings/window_cleaner.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>
#include <pcg_random.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace buckthornvale::decision::bookings
{

//! A request that wants to run a booking.
struct claim_request
{
    booking_key key;
    body_digest body;
    request_id request;
    duration time_left{}; //!< until the request's deadline
    //! The service can report the outcome of a key.
    bool outcome_queryable = false;
};

//! Counters of the table.
struct booking_counters
{
    std::uint64_t granted = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t refused = 0;
    std::uint64_t unavailable = 0;
    std::uint64_t unsettled = 0;
    std::uint64_t unknown = 0; //!< outcomes reported as unknown
    std::uint64_t forwarded = 0;
    std::uint64_t forward_timeouts = 0;
    std::uint64_t asked = 0;
};

//! At-most-once claims of one VM. Each claim() gets exactly one answer:
//! granted, duplicate, refused, unavailable or unsettled; each query() one of
//! duplicate, absent, unavailable or refused. Correctness rests on the store's
//! conditional update alone; the committer and the live list only reduce the
//! number of writes.
class booking_table
{
public:
    booking_table(booking_settings const& settings, std::uint64_t seed);

    void claim(claim_request const& request, time_point now, wall_time wall,
               booking_effects& out);

    //! Requests the outcome of a key without claiming it.
    void query(claim_request const& request, time_point now, wall_time wall,
               booking_effects& out);

    void store_answer(bookings::store_answer const& answer, time_point now,
                      wall_time wall, booking_effects& out);

    //! Handles an update that a peer forwarded to this VM.
    void handle_forwarded_update(vm_id from, shard_update const& update,
                                 time_point now, wall_time wall,
                                 booking_effects& out);
    void handle_forwarded_answer(vm_id from, update_answer const& answer,
                                 time_point now, wall_time wall,
                                 booking_effects& out);

    //! Reports that updates could not be forwarded to the peer: this VM commits
    //! those that wait for its answer. An update that was sent before may still
    //! arrive.
    void peer_unreachable(vm_id peer, time_point now, wall_time wall,
                          booking_effects& out);

    //! Records that the granted request is about to send its attempt. Returns
    //! false if the claim is no longer its own; the attempt must not start
    //! then.
    bool dispatched(request_id request, time_point now, booking_effects& out);

    //! Records the service's response. The write of the result is retried until
    //! the store has it.
    void completed(request_id request, std::string result, time_point now,
                   booking_effects& out);

    //! Records that the attempt may have run but its response is lost.
    void outcome_lost(request_id request, time_point now, booking_effects& out);

    //! Records that the granted request provably did not run; its claim is
    //! removed.
    void not_run(request_id request, time_point now, booking_effects& out);

    //! Handles the service's answer about a key; empty if it does not know the
    //! key. Only a result settles the claim, since a request that is still in
    //! transit may run later.
    void service_answer(claim_id id, std::optional<std::string> result,
                        time_point now, booking_effects& out);

    void tick(time_point now, wall_time wall, booking_effects& out);

    //! Sets the live entry VMs, including this one.
    void set_live_vms(absl::Span<live_vm const> vms);

    booking_counters const& counters() const { return counters_; }
    committer_counters const& store_counters() const
    {
        return committer_.counters();
    }
    std::size_t records() const { return records_.size(); }
    std::size_t shards_in_memory() const
    {
        return committer_.shards_in_memory();
    }

private:
    enum class stage : std::uint8_t
    {
        claiming, //!< not yet known whether this process holds the claim
        granted,
        dispatched,
        completed, //!< the result is not yet in the store
        unknown,
        releasing
    };

    //! A claim of this process. It is kept until the store has its last state,
    //! so a stored entry of this incarnation without a record was never
    //! dispatched.
    struct record
    {
        stage current_stage = stage::claiming;
        claim_request request;
        shard_update update; //!< last one sent
        time_point deadline{};
        std::optional<vm_id> sent_to; //!< peer that it was forwarded to
        time_point sent_at{};
        bool peer_may_commit = false;    //!< a peer may still write the claim
        bool committing_locally = false; //!< held by the local committer
        //! Own earlier claims found under the key.
        std::uint32_t released_orphans = 0;
        booking_result result;
    };

    struct query_record
    {
        claim_request request;
        shard_update update;
        std::optional<vm_id> sent_to;
        time_point sent_at{};
    };

    struct question
    {
        booking_key key;
        shard_update update; //!< identifies the claim that is asked about
        time_point asked{};
    };

    std::optional<error> validate_key(booking_key const& key,
                                      wall_time wall) const;
    shard_update make_update(update_kind kind, claim_request const& request,
                             wall_time wall);
    std::optional<vm_id> peer_committer(shard_address address) const;
    bool is_owner_alive(claim_entry const& entry, wall_time wall) const;

    void answer_from_record(record const& tracked, claim_request const& request,
                            bool must_match, booking_effects& out);
    void answer_existing(claim_request const& request, bool must_match,
                         update_answer const& answer, time_point now,
                         wall_time wall, booking_effects& out);
    void ask(booking_key const& key, request_id request,
             shard_update const& update, time_point now, booking_effects& out);

    void forward_or_commit(record& tracked, time_point now,
                           booking_effects& out);
    void commit_here(record& tracked, time_point now, booking_effects& out);
    void submit(shard_update const& update, time_point expires, time_point now,
                booking_effects& out);
    void change_stage(record& tracked, stage next, update_kind kind,
                      time_point now, booking_effects& out);

    void handle_answers(time_point now, wall_time wall, booking_effects& out);
    void settle(update_answer const& answer, std::optional<vm_id> peer,
                time_point now, wall_time wall, booking_effects& out);
    void settle_claim(record& tracked, update_answer const& answer,
                      std::optional<vm_id> peer, time_point now, wall_time wall,
                      booking_effects& out);
    void settle_existing(record& tracked, update_answer const& answer,
                         time_point now, wall_time wall, booking_effects& out);
    void settle_unavailable(record& tracked, std::optional<vm_id> peer,
                            time_point now, booking_effects& out);
    void settle_query(query_record const& tracked, update_answer const& answer,
                      time_point now, wall_time wall, booking_effects& out);
    void release_orphan(claim_id id, std::uint64_t nonce, shard_address shard,
                        time_point now, booking_effects& out);
    void tick_records(time_point now, booking_effects& out);
    void tick_queries(time_point now, booking_effects& out);
    void erase_record(claim_id id);
    record* find_record(request_id request);

    booking_settings settings_;
    pcg64 random_;
    shard_committer committer_;
    window_cleaner cleaner_;
    std::vector<live_vm> live_;
    std::vector<vm_id> live_ids_;
    absl::flat_hash_map<claim_id, record> records_;
    absl::flat_hash_map<request_id, claim_id> by_request_;
    absl::flat_hash_map<std::uint64_t, query_record> queries_; //!< by nonce
    absl::flat_hash_map<claim_id, question> questions_;
    std::vector<committed_update> unhandled_answers_;
    booking_counters counters_;
};

} // namespace buckthornvale::decision::bookings

#endif
