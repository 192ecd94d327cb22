#ifndef BUCKTHORNVALE_DECISION_GATEWAY_REDUCER_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_REDUCER_HPP

#include <buckthornvale/decision/gateway/attempt_judgement.hpp>
#include <buckthornvale/decision/gateway/crash_judge.hpp>
#include <buckthornvale/decision/gateway/crash_registry.hpp>
#include <buckthornvale/decision/gateway/effect.hpp>
#include <buckthornvale/decision/gateway/event.hpp>
#include <buckthornvale/decision/gateway/first_attempt_times.hpp>
#include <buckthornvale/decision/gateway/member_table.hpp>
#include <buckthornvale/decision/gateway/retry_budget.hpp>
#include <buckthornvale/decision/gateway/runner_choice.hpp>
#include <buckthornvale/decision/gateway/runner_directory.hpp>
#include <buckthornvale/decision/gateway/stage_pipeline.hpp>
#include <buckthornvale/decision/gateway/stage_scheduler.hpp>
#include <buckthornvale/decision/gateway/suspect_table.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace buckthornvale::decision::gateway
{

//! How many requests a cold runner may get in any second: its rate times the
//! factor, and the slack.
struct cold_start_bounds
{
    double rate_factor = 1;
    double slack = 0; //!< requests
};

//! Settings of a gateway process that are fixed at its start.
struct gateway_settings
{
    std::string vm_name;
    std::string failure_domain;
    duration drain_timeout{}; //!< drain timeout of a runner
    //! Maximum time until this VM learns of a change of a runner.
    duration max_update_delay{};
    //! Time after a disturbance from which all bounds hold again.
    duration settle_time{};
    retry_budget_limits retries;
    time_point started_at{}; //!< of the process
    //! Time within which an evacuation has to be obeyed. Not set if the
    //! deployment has none.
    std::optional<duration> evacuation_timeout{};
    //! Not set if cold runners may get any number of requests.
    std::optional<cold_start_bounds> cold_starts{};
    //! The store may keep crashes by content from before the start. Requests
    //! are refused until they are read, or for two seconds if they cannot be.
    bool await_crash_records = false;
};

//! The decision logic of one gateway process: admission, stages, choice of
//! runners, retries and resumption of streams. Each event returns the effects
//! that the I/O layer has to execute; the reducer performs no I/O itself.
//!
//! A request is executed at most once unless its route allows repeats. The
//! reducer tells a caller that its request was not executed only if that is
//! certain.
class reducer
{
public:
    explicit reducer(gateway_settings settings);
    ~reducer();
    reducer(reducer const&) = delete;
    reducer& operator=(reducer const&) = delete;

    effects reduce(event const& input, time_point now);

    //! True if the process can serve requests.
    bool ready() const;

    manifest const* current_manifest() const { return manifest_.get(); }
    std::size_t active_requests() const { return requests_.size(); }

    //! True while the runner names a limit on its requests. Each of its answers
    //! has to be reported then, also those that name none.
    bool is_rate_limited(std::string_view runner_id);

    //! Number of runners that name a limit on their requests.
    std::size_t rate_limited_runners() { return runners_.limited().size(); }

    //! Number of runners that are cold.
    std::size_t cold_runners(time_point now) const
    {
        return runners_.cold_count(now);
    }

    //! Number of failure domains that the operator evacuates.
    std::size_t evacuated_domains() const
    {
        return runners_.evacuations().size();
    }

    //! True while frequent `timer_fired` events are required.
    bool busy() const;

private:
    struct active_request;
    using request_map = std::map<request_ref, std::unique_ptr<active_request>>;

    void on(request_arrived const& in, time_point now);
    void on(caller_left const& in, time_point now);
    void on(attempt_ended const& in, time_point now);
    void on(runner_notified const& in, time_point now);
    void on(stream_started const& in, time_point now);
    void on(stream_advanced const& in, time_point now);
    void on(delivery_blocked const& in, time_point now);
    void on(stage_call_ended const& in, time_point now);
    void on(stage_results_freed const& in, time_point now);
    void on(manifest_changed const& in, time_point now);
    void on(runners_listed const& in, time_point now);
    void on(runner_changed const& in, time_point now);
    void on(runner_removed const& in, time_point now);
    void on(evacuations_listed const& in, time_point now);
    void on(evacuation_changed const& in, time_point now);
    void on(members_listed const& in, time_point now);
    void on(crash_records_read const& in, time_point now);
    void on(peer_sent const& in, time_point now);
    void on(peer_unreachable const& in, time_point now);
    void on(peer_answered const& in, time_point now);
    void on(drain_started const& in, time_point now);
    void on(timer_fired const& in, time_point now);

    void apply_evacuations(std::vector<evacuation_change> const& changes,
                           time_point now);
    void log_evacuation(evacuation_change const& change);
    void log_released(std::vector<std::string> const& failure_domains,
                      bool listed);
    void resume_after_pause(duration pause, time_point now);
    void give_up_requests(time_point now);

    // Requests.
    refusal check_request(request_traits const& traits,
                          organisation const*& caller_organisation,
                          route const*& found, time_point now) const;
    std::string pick_service(route const& matched_route,
                             std::uint64_t seed) const;
    void start_attempt(active_request& request, time_point now);
    refusal reason_without_runner(active_request const& request,
                                  time_point now);

    //! True if model runners may get the request at all. If none can be chosen
    //! then, their memory is full.
    bool has_usable_engine(active_request const& request, time_point now);
    runner_choice choose_runner(active_request& request, time_point now);

    //! Counts the request at the model runner and completes the message to it.
    void place_on_engine(active_request const& request,
                         runner_choice const& choice, send_attempt& out,
                         time_point now);

    //! Records the first event of the current attempt, and ignores later ones.
    void record_first_event(active_request const& request, time_point now);
    void log_send(active_request const& request, runner_choice const& choice,
                  time_point now);

    //! Expected time from a send to a model runner of the service until the
    //! first event, if the runner has to read this many tokens of the prompt.
    duration expected_first_event(std::string const& service,
                                  double unread_tokens) const;
    active_request* find_attempt(request_ref ref, std::uint32_t attempt);
    void release_runner(active_request& request);
    bool may_restart_stages(active_request const& request) const;
    bool restart_stages(active_request& request, time_point now);
    void log_attempt(active_request const& request, attempt_ended const& in,
                     attempt_outcome outcome, time_point now);
    void end_attempt(active_request& request, attempt_ended const& in,
                     attempt_outcome outcome, time_point now);
    void handle_answer(active_request& request, attempt_ended const& in,
                       time_point now);
    bool retry(active_request& request, bool may_have_run, time_point now);

    //! Goes on with a request that a runner refused with this status.
    bool retry_refused(active_request& request, int status, time_point now);

    //! Plans to offer a request that no runner took over to them again, unless
    //! that is planned already. Returns false if no runner may have run it, so
    //! that it can be refused, and if no time or execution is left for it.
    bool plan_retry(active_request& request, time_point now);
    void run_planned_retry(active_request& request, time_point now);
    void fail_request(active_request& request, refusal reason, time_point now);
    void finish_request(active_request& request, time_point now);
    //! Ends the request if its deadline has passed, and tells whether it has.
    bool end_at_deadline(active_request& request, time_point now);
    void check_progress(active_request& request, time_point input_until,
                        time_point now);

    //! Silence of the runner after which the request is sent to another one;
    //! duration::max() for requests that have to stay.
    duration silence_limit(active_request const& request);

    //! Expected time until another runner goes on with a stream, stages that
    //! have to be computed again included.
    duration time_to_resume(active_request const& request,
                            time_point now) const;
    void move_from_silent_runner(active_request& request, time_point now);
    void record_signal(active_request const& request, attempt_ended const& in,
                       attempt_outcome outcome, time_point now);
    std::optional<duration> retry_after(active_request const& request,
                                        refusal reason, time_point now) const;
    bool are_runners_quiet(active_request const& request, time_point now) const;

    // Limits that runners name on the requests of all VMs.
    void record_rate_limit(runner_notified const& in, time_point now);
    void apply_rate_limit(runner_state& state, double limit_per_s,
                          time_point now);
    //! Tells the first VMs that share the limit, which learn of its end first,
    //! but may not send to the runner otherwise.
    void report_limit(runner_state const& state, time_point now);
    //! Tells the other VMs, most of which send so rarely that they would learn
    //! it late.
    void report_end_of_limit(std::string const& runner_id, time_point now);
    double spread_of(std::string_view runner_id) const;
    //! Part of this VM in a limit on the requests of all VMs to the runner.
    share_position share_of(runner_state const& state, time_point now);
    void assign_share(runner_state& state, double limit_per_s, time_point now);
    void assign_cold_share(runner_state& state, time_point now);
    void assign_shares(time_point now);
    //! Assigns shares anew when another VM schedules a stage service.
    void assign_stage_shares(time_point now);

    //! Latest time at which the request can be sent and be answered as its
    //! caller expects, or as soon as its stages allow.
    time_point latest_send(active_request const& request, time_point now) const;

    //! True if the shares of this VM suffice to send the request in time, after
    //! those that wait already.
    bool has_send_left(active_request const& request, time_point now) const;

    //! Keeps a request that no runner may get now until one may. Returns false
    //! if that would be too late.
    bool wait_for_share(active_request& request, time_point now);
    void start_waiting_requests(time_point now);
    void log_rate_limit(active_request const& request, time_point now);

    // Cold runners.

    //! Limit on the requests of all VMs to a cold runner of the service.
    std::optional<fleet_limit> cold_limit(std::string_view service) const;
    void record_cold_start(runner_state& state, bool restored, time_point now);
    void record_cold_starts(runners_listed const& in, time_point now);

    // Stages.

    //! Estimated time until a request is answered.
    struct forecast
    {
        //! If scheduled by its target latency.
        duration on_schedule{};
        //! If deferred behind requests that can be on time.
        duration deferred{};
        duration queue_wait{}; //!< part of `deferred` that is spent in queues
    };

    //! Durations of the stages and of the answer of a request, without
    //! queueing.
    struct stage_estimate
    {
        std::vector<duration> stages;
        duration answer{};
    };

    //! What places the pieces of a request in the queues of stage services.
    struct queue_position
    {
        dispatch_priority priority;
        duration due_in{}; //!< time until the request has to be answered
    };

    void announce_later_stages(active_request& request, time_point now);
    void start_stages(active_request& request, time_point now);
    std::string preferred_domain(active_request const& request,
                                 std::uint32_t stage) const;
    void submit_missing_pieces(active_request& request, std::uint32_t stage,
                               time_point now);
    void handle_piece_result(piece_result const& result, time_point now);
    void release_stage_results(
        std::vector<std::pair<std::string, std::string>> results,
        time_point now);
    void advance(active_request& request, time_point now);
    void resubmit_from(std::string const& member, time_point now);
    stage_estimate estimate_stages(active_request const& request,
                                   time_point now) const;
    //! Time from the start of the stage to the answer, without queueing.
    static duration time_to_answer(active_request const& request,
                                   stage_estimate const& estimate,
                                   std::uint32_t stage);
    duration average_answer_time(std::string const& service) const;
    void record_answer_time(std::string const& service, duration elapsed);
    forecast forecast_stages(active_request const& request,
                             time_point now) const;
    bool admit_stages(active_request& request, time_point now);
    duration time_spent_before(route const& matched_route,
                               request_traits const& traits);
    backlog const* fresh_backlog(std::string const& service,
                                 time_point now) const;
    bool is_result_memory_scarce(active_request const& request,
                                 std::uint32_t stage, time_point now) const;
    duration expected_answer_time(active_request const& request,
                                  stage_estimate const& estimate,
                                  queue_position const& position,
                                  time_point now) const;
    stage_scheduler& scheduler(std::string const& service);
    void run_schedulers(time_point now);
    void log_calls(std::string const& service, std::size_t from);

    // Requests that crash runners.
    std::string const& judge_of(std::string const& service,
                                time_point now) const;
    bool is_blocked(active_request const& request);
    //! Lets a request of blocked content run, if it is time to see whether the
    //! content is sound. One VM decides this for each content.
    void allow_retrial(active_request& request, time_point now);
    void record_crash_evidence(active_request const& request,
                               attempt_ended const& in, attempt_outcome outcome,
                               time_point now);
    void report_loss(active_request const& request, attempt_ended const& in,
                     time_point now);
    void report_unreachable(std::string const& service,
                            std::string const& runner, time_point now);
    void record_answered(absl::Span<crash_suspect const> suspects,
                         time_point now);
    void judge_crashes(time_point now);
    void repeat_crash_state(time_point now);
    void send_crash_state(std::string const& member, duration max_age,
                          time_point now);
    void log_suspect(char const* what, active_request const* request,
                     crash_suspect const& suspect);

    // Other VMs.
    void send_message(std::string const& name, peer_message message,
                      time_point now);
    void handle_message(std::string const& from, submit_pieces const& in,
                        time_point now);
    void handle_message(std::string const& from, announce_stages const& in,
                        time_point now);
    void handle_message(std::string const& from, return_results const& in,
                        time_point now);
    void handle_message(std::string const& from, release_results const& in,
                        time_point now);
    void handle_message(std::string const& from, cancel_pieces const& in,
                        time_point now);
    void handle_message(std::string const& from, report_crash const& in,
                        time_point now);
    void handle_message(std::string const& from, report_lost_run const& in,
                        time_point now);
    void handle_message(std::string const& from,
                        report_unreachable_runner const& in, time_point now);
    void handle_message(std::string const& from, accuse_suspects const& in,
                        time_point now);
    void handle_message(std::string const& from, report_answered const& in,
                        time_point now);
    void handle_message(std::string const& from, block_suspects const& in,
                        time_point now);
    void handle_message(std::string const& from, share_crash_records const& in,
                        time_point now);
    void handle_message(std::string const& from, report_rate_limit const& in,
                        time_point now);
    void probe_owners(time_point input_until, time_point now);
    void remove_unreachable_members(time_point now);
    void update_crash_record(active_request const& request, bool cleared,
                             time_point now);
    //! Stops waiting for crash records that cannot be read.
    void check_crash_records(time_point now);
    void store_changed_crash_records();

    void log(char const* what, active_request const* request,
             std::vector<log_decision::field> fields);

    struct known_backlog
    {
        backlog value;
        time_point at{};
    };

    gateway_settings settings_;
    std::shared_ptr<manifest const> manifest_;
    runner_directory runners_;
    member_table members_;
    retry_budget retry_budget_;
    crash_registry crashes_;
    crash_judge judge_;
    suspect_table suspects_;
    bool crash_records_known_ = true;
    //! Latest time at which requests are taken without them.
    std::optional<time_point> crash_records_due_;
    std::vector<stored_crashes> crash_records_stored_; //!< as requested last
    time_point crash_state_repeated_at_{};
    std::size_t crash_state_repeats_ = 0;
    //! VM that schedules each stage service whose runners name limits, when
    //! their shares were assigned.
    std::map<std::string, std::string, std::less<>> share_owners_;
    std::map<std::string, stage_scheduler> schedulers_;
    std::map<std::string, known_backlog, std::less<>> backlogs_;
    //! Moving average of the time from a send to the first event, by service.
    std::map<std::string, duration, std::less<>> answer_times_;
    //! Of the model services.
    std::map<std::string, engine_profile, std::less<>> engine_profiles_;
    std::map<std::string, first_attempt_times, std::less<>>
        first_attempt_times_; //!< by route
    std::map<std::string, time_point, std::less<>> probed_at_;
    request_map requests_;
    call_ref next_call_ = 1;
    time_point members_checked_at_{};
    bool draining_ = false;
    time_point accept_until_{}; //!< while draining
    time_point finish_at_{};    //!< while draining
    time_point last_event_at_{};
    //! Pieces that arrive before may have been sent before a pause.
    time_point pieces_stale_until_{};
    bool runners_known_ = false;
    bool dispatch_needed_ = false;
    effects out_;
};

} // namespace buckthornvale::decision::gateway

#endif
