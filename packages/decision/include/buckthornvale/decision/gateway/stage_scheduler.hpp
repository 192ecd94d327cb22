#ifndef BUCKTHORNVALE_DECISION_GATEWAY_STAGE_SCHEDULER_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_STAGE_SCHEDULER_HPP

#include <buckthornvale/decision/gateway/announced_stage_table.hpp>
#include <buckthornvale/decision/gateway/effect.hpp>
#include <buckthornvale/decision/gateway/manifest.hpp>
#include <buckthornvale/decision/gateway/piece_queue.hpp>
#include <buckthornvale/decision/gateway/rank_shares.hpp>
#include <buckthornvale/decision/gateway/rate_meter.hpp>
#include <buckthornvale/decision/gateway/runner_directory.hpp>
#include <buckthornvale/decision/gateway/stage_capacity.hpp>

#include <absl/container/flat_hash_set.h>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornvale::decision::gateway
{

//! A result for the VM that submitted the piece.
struct addressed_result
{
    std::string member;
    piece_result result;
};

//! What is known of the call to which the answer of a stage runner belongs.
//! Only the handles of results tell an answer from the copy of an earlier one.
enum class answer_origin
{
    own,      //!< has a new handle
    unknown,  //!< has no handle
    repeated, //!< is the copy of an earlier answer
};

//! Batches the pieces of one stage service from all VMs into calls to its
//! runners. A call has a fixed cost and a runner executes one call at a time,
//! so that VMs that batched separately would fill the few slots with small
//! calls.
//!
//! Pieces are dispatched by priority class, and within a class in the order of
//! their due times. A piece that is already late is deferred behind all that
//! can still be on time. While more urgent ranks would fill all calls, each
//! rank keeps a small share of the places.
//!
//! A free runner immediately takes the pieces for its own failure domain, and
//! pieces of other domains after a short wait: results are large, and keeping
//! them in one domain avoids transfers between domains. Batches grow only while
//! all runners are busy.
class stage_scheduler
{
public:
    //! Maximum number of runners tried for one piece.
    static constexpr std::uint32_t max_attempts = 3;

    explicit stage_scheduler(std::string service) : service_(std::move(service))
    {
    }

    void configure(piece_limits const& limits);

    //! Counts the pieces in forecasts until they are submitted or due.
    void announce(std::string const& member, announced_stage const& stage,
                  time_point now);

    //! Queues pieces. Known pieces are ignored, since a VM repeats submissions
    //! that were not answered.
    void submit(std::string const& member, std::vector<piece> pieces,
                time_point now);

    //! Drops the queued and announced pieces of requests that have ended.
    void withdraw(std::string const& member,
                  std::vector<request_ref> const& requests);

    //! Drops all queued pieces of a VM that has lost its state.
    void withdraw_all(std::string const& member);

    //! Drops all pieces of all other VMs.
    void withdraw_all_but(std::string const& member);

    void release(std::vector<std::string> const& handles);

    //! Handles the answer of a runner to a request to free results.
    void results_freed(call_ref call);

    //! Unless the answer is `own`, another answer may follow on the same
    //! connection, which must not be used again.
    answer_origin call_ended(stage_call_ended const& ended,
                             runner_directory& runners, time_point now);

    bool owns_call(call_ref call) const { return calls_.count(call) > 0; }

    //! Address to which the call was sent. The call must be in progress.
    std::string const& address_of_call(call_ref call) const
    {
        return calls_.at(call).address;
    }

    //! Starts calls on free runners and drops pieces that are too late.
    //! `next_call` is the next call identifier of this process.
    void dispatch(runner_directory& runners, call_ref& next_call,
                  time_point now, effects& out);

    //! Queues the pieces of calls again that have had no answer for much longer
    //! than usual, among all that had arrived at `input_until`.
    void hedge_slow_calls(time_point input_until);

    //! Returns the results since the previous call.
    std::vector<addressed_result> take_results();

    //! Moving average of the time of a call.
    duration average_call_time() const { return average_call_time_; }

    //! Estimated time until a piece that is queued now starts.
    queue_forecast expected_waits(runner_directory& runners,
                                  time_point now) const;

    //! Share of the runners' memory for results that is in use.
    double result_memory_share() const;

    std::size_t waiting() const { return queue_.size(); }

    //! Number of queued pieces by rank.
    std::map<int, std::size_t> waiting_by_rank() const;

    std::size_t calls() const { return calls_.size(); }

private:
    struct call_state
    {
        std::string runner_id;
        std::string address;
        time_point started{};
        std::vector<queued_piece> pieces;
        //! Reported to the VMs that submitted the pieces.
        bool inputs_read = false;
        bool hedged = false; //!< its pieces are queued for a second runner
    };

    //! Load that this scheduler has put on one runner.
    struct runner_usage
    {
        std::uint32_t calls = 0;
        double held_bytes = 0;
        //! Held for other schedulers, inferred from refusals.
        double external_bytes = 0;
        time_point external_until{};
        double slowness = 1; //!< moving average of actual over nominal time
        time_point measured_at{}; //!< time of the last measured call
        std::int64_t started_at_ms = 0;
    };

    struct held_result
    {
        std::string runner_id;
        double bytes = 0;
        time_point expires{};
    };

    //! Results that are being freed. Their memory counts as used until the
    //! runner has answered, because a call could overtake the request to free
    //! them.
    struct released_results
    {
        std::string runner_id;
        double bytes = 0;
        std::vector<std::string> handles;
        //! Time from which the runner holds none of them; set when they are
        //! kept back.
        std::optional<time_point> lapse_at;
    };

    //! Pieces that are due within each of `wait_profile::due_times`.
    using due_counts = std::array<std::size_t, wait_profile::size>;

    duration nominal_time(std::size_t pieces) const;
    std::map<dispatch_priority, due_counts>
    pieces_by_due_time(time_point now) const;
    template <class Predicate>
    void discard_queued(Predicate const& dropped);
    void check_timeouts(time_point now);
    void drop_late_pieces(time_point now);
    stage_capacity capacity(runner_directory& runners, time_point now) const;
    double effective_slots(absl::Span<runner_state* const> usable,
                           time_point now) const;
    void report_inputs_read(time_point now);
    double slowness_of(std::string const& runner_id, time_point now) const;
    void drop_hedge_copies(std::vector<queued_piece> const& pieces);
    void finish_piece(queued_piece& it, piece_outcome outcome,
                      std::string handle);
    void requeue(queued_piece it, bool count_attempt, time_point now);
    void record_runner_signal(call_state const& call,
                              stage_call_ended const& ended, bool answered,
                              runner_directory& runners, time_point now);
    void record_call_time(call_state const& call, time_point now);
    void requeue_call_pieces(call_state& call, bool count_attempt,
                             time_point now);
    void handle_piece_outcome(queued_piece& it, piece_call_result const& result,
                              std::string const& runner_id, time_point now);
    std::vector<queued_piece> take_batch(runner_state const& runner,
                                         time_point now);
    void record_batch_size(std::size_t pieces, bool out_of_room);
    std::vector<runner_state*> free_runners(runner_directory& runners,
                                            time_point now);
    void exclude_slow_runners(std::vector<runner_state*> const& usable,
                              std::vector<runner_state*>& free,
                              time_point now) const;
    void start_call(runner_state& runner, std::vector<queued_piece> pieces,
                    call_ref call, time_point now, effects& out);
    void expire_results(time_point now);
    //! True if the runner may get a call now that frees results.
    bool may_free(runner_state const& runner, time_point now) const;
    //! Forgets results that were kept back until they have lapsed.
    void expire_released(time_point now);
    void return_memory(released_results const& of);
    void flush_released(runner_directory& runners, call_ref& next_call,
                        time_point now, effects& out);

    std::string service_;
    piece_limits limits_;
    duration average_call_time_{};
    //! Moving average of the pieces that a call can take: the maximum, or what
    //! the room for results allows.
    double average_batch_size_ = 0;
    piece_queue queue_;
    rank_shares shares_;
    announced_stage_table announced_;
    //! Arrivals of pieces, those of later stages when they are announced.
    std::map<dispatch_priority, rate_meter> arrivals_;
    //! Keys of all pieces that are queued or in progress.
    absl::flat_hash_set<std::uint64_t> known_keys_;
    time_point last_check_{};
    std::map<call_ref, call_state> calls_;
    std::map<std::string, runner_usage, std::less<>> usage_;
    std::map<std::string, held_result, std::less<>> held_;
    std::map<std::string, released_results> released_; //!< by address
    std::map<call_ref, released_results> freeing_;
    std::vector<addressed_result> results_;
    //! Failure domains with a usable runner.
    std::set<std::string> usable_domains_;
};

} // namespace buckthornvale::decision::gateway

#endif
