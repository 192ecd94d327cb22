#ifndef BUCKTHORNVALE_DECISION_REQUESTS_EXECUTOR_HPP
#define BUCKTHORNVALE_DECISION_REQUESTS_EXECUTOR_HPP

#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/core/time.hpp>
#include <buckthornvale/decision/isolation/crash_isolation.hpp>
#include <buckthornvale/decision/requests/attempt_messages.hpp>
#include <buckthornvale/decision/requests/attempt_table.hpp>
#include <buckthornvale/decision/requests/effect.hpp>
#include <buckthornvale/decision/requests/request_state.hpp>
#include <buckthornvale/decision/requests/runner_directory.hpp>
#include <buckthornvale/decision/retry/deadline_split.hpp>
#include <buckthornvale/decision/retry/hedge_policy.hpp>
#include <buckthornvale/decision/retry/retry_budget.hpp>
#include <buckthornvale/decision/retry/retry_policy.hpp>
#include <buckthornvale/decision/routing/router.hpp>

#include <map>
#include <optional>
#include <vector>

namespace buckthornvale::decision::requests
{

//! Consulted immediately before the first attempt of a non-repeatable stage.
class non_repeatable_guard
{
public:
    virtual ~non_repeatable_guard() = default;

    //! Records the start of the stage with its claim. Returns false when the
    //! stage must not start because its claim was lost.
    virtual bool confirm_claim(request_state const& request, stage_index n,
                               time_point now) = 0;
};

//! Components that the executor uses; all of them must outlive it.
struct executor_dependencies
{
    non_repeatable_guard& guard;
    routing::router& router;
    isolation::crash_isolation& isolation;
    retry::retry_budget& retry_budget;
    retry::deadline_split& deadline_split;
    retry::hedge_policy& hedge_policy;
    runner_directory const& runners;
};

//! A stage completed, or failed without further retries.
struct stage_result
{
    request_id request;
    stage_index stage = 0;
    bool completed = false;
    error failure; //!< reason, unless `completed`
    duration took{};
};

//! Runs the stages of dispatched requests: chooses runners, starts, retries,
//! hedges and cancels attempts, and matches answers to stages. An answer is
//! used only for the attempt whose id it contains, whichever call it arrived
//! on.
class executor
{
public:
    executor(executor_dependencies dependencies, failure_domain_id local_domain,
             std::uint64_t incarnation);

    //! Starts every stage whose inputs are available if a runner can be chosen.
    void start_ready_stages(request_state& request, time_point now,
                            effect_list& out);

    //! Appends a token to the output of its stage. Adds a result when the
    //! stream is broken and cannot be resumed.
    void on_token(request_state& request, attempt_token const& event,
                  time_point now, effect_list& out,
                  std::vector<stage_result>& results);

    //! Handles the end of a call. When answers crossed, the results may belong
    //! to another request than the call.
    void on_attempt_ended(request_table& requests, attempt_ended const& event,
                          time_point now, effect_list& out,
                          std::vector<stage_result>& results);

    //! Ends attempts whose time budget has passed, starts stages that are ready
    //! and sends due hedges.
    void tick(request_table& requests, time_point now, effect_list& out,
              std::vector<stage_result>& results);

    //! Cancels the attempts of a request. With `keep_non_repeatable`, those of
    //! non-repeatable stages continue so that their outcome becomes known.
    void cancel(request_state& request, bool keep_non_repeatable,
                time_point now, effect_list& out);

    //! The state of an attempt; null when it is not in flight.
    attempt_state const* find(attempt_id id) { return attempts_.find(id); }

    //! Number of attempts in flight by hash of the model that they use.
    std::map<std::uint64_t, double>
    attempts_by_model(request_table const& requests) const;

private:
    bool start(request_state& request, stage_index n, time_point now,
               effect_list& out);
    start_attempt make_start_attempt(request_state const& request,
                                     attempt_state const& attempt,
                                     duration budget) const;
    duration budget_for(request_state const& request, stage_index n,
                        time_point now) const;
    std::optional<runner_id> choose_runner(request_state const& request,
                                           stage_index n,
                                           routing::route_query& query,
                                           time_point now);
    retry::hedge_query hedge_query_of(request_state const& request,
                                      stage_index n,
                                      attempt_state const& first) const;
    void complete(request_state& request, attempt_state const& attempt,
                  attempt_ended const& event, time_point now, effect_list& out,
                  std::vector<stage_result>& results);
    void fail(request_state& request, attempt_state const& attempt,
              attempt_ended const& event, time_point now, effect_list& out,
              std::vector<stage_result>& results);
    error error_of(attempt_ended const& event) const;
    bool resumes_streams(runner_id id) const;
    error retry_refusal(request_state const& request, stage_index n,
                        attempt_ended const& event, time_point now);
    void close_attempt(request_state& request, attempt_state const& attempt,
                       routing::attempt_result result, duration took,
                       time_point now);
    void abandon_attempt(request_state& request, attempt_id id, time_point now,
                         effect_list& out);
    void start_due_hedges(request_state& request, time_point now,
                          effect_list& out);

    executor_dependencies dependencies_;
    failure_domain_id local_domain_;
    attempt_table attempts_;
};

} // namespace buckthornvale::decision::requests

#endif
