#ifndef BUCKTHORNVALE_DECISION_REQUESTS_REQUEST_FLOW_HPP
#define BUCKTHORNVALE_DECISION_REQUESTS_REQUEST_FLOW_HPP

#include <buckthornvale/decision/admission/admission_controller.hpp>
#include <buckthornvale/decision/bookings/booking_table.hpp>
#include <buckthornvale/decision/isolation/crash_isolation.hpp>
#include <buckthornvale/decision/requests/claim_registry.hpp>
#include <buckthornvale/decision/requests/executor.hpp>
#include <buckthornvale/decision/requests/settings_view.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace buckthornvale::decision::requests
{

//! Components that the request flow uses; all of them must outlive it.
struct flow_dependencies
{
    admission::admission_controller& admission;
    bookings::booking_table& bookings;
    isolation::crash_isolation& isolation;
    routing::router& router;
    retry::retry_budget& retry_budget;
    retry::deadline_split& deadline_split;
    retry::hedge_policy& hedge_policy;
    settings_view const& settings;
};

//! Output lists for the effects of the request flow.
struct flow_output
{
    effect_list& requests;
    bookings::booking_effects& store; //!< store and peer effects
};

//! Service that can be queried for the outcome of a non-repeatable stage.
struct outcome_source
{
    runner_entry runner;
    std::string service_key; //!< key that was sent to the service
};

//! Handles each request from its arrival to its only answer: validation,
//! admission, claims, stages and deadline. Only this class decides which
//! outcome is reported to the caller.
class request_flow final : private non_repeatable_guard
{
public:
    request_flow(flow_dependencies dependencies, failure_domain_id local_domain,
                 std::uint64_t incarnation);

    void on_request_received(request_received const& event, time_point now,
                             flow_output out);
    void on_caller_gone(caller_gone const& event, time_point now,
                        flow_output out);
    void on_outcome_queried(outcome_queried const& event, time_point now,
                            flow_output out);
    void on_token(attempt_token const& event, time_point now, flow_output out);
    void on_attempt_ended(attempt_ended const& event, time_point now,
                          flow_output out);
    void on_service_outcome(service_outcome_received const& event,
                            time_point now, flow_output out);

    //! Handles the claim decisions in `effects` and forwards the other effects
    //! to `out`.
    void on_booking_effects(bookings::booking_effects& effects, time_point now,
                            flow_output out);

    void tick(time_point now, wall_time wall, flow_output out);

    std::size_t in_flight() const { return requests_.size(); }

    //! Number of attempts in flight by hash of the model that they use.
    std::map<std::uint64_t, double> attempts_by_model() const
    {
        return executor_.attempts_by_model(requests_);
    }

    //! The runner that can be queried for the outcome of a claim, given the id
    //! of the claim; empty when there is none.
    std::optional<outcome_source> outcome_source_of(request_id claim) const;

private:
    bool confirm_claim(request_state const& request, stage_index n,
                       time_point now) override;

    request_state make_state(request_received const& event, time_point now,
                             isolation::fingerprint content) const;
    void refuse(request_received const& event, error reason,
                duration retry_after, flow_output out);
    void poll_admission(time_point now, flow_output out);
    void start_claims(request_state& request, time_point now, flow_output out);
    void start_stages(request_state& request, time_point now, flow_output out);
    void process_booking_effects(time_point now, flow_output out);
    void apply(bookings::claim_granted const& decision, time_point now,
               flow_output out);
    void apply(bookings::claim_duplicate const& decision, time_point now,
               flow_output out);
    void apply(bookings::claim_refused const& decision, time_point now,
               flow_output out);
    void apply(bookings::claim_unavailable const& decision, time_point now,
               flow_output out);
    void apply(bookings::claim_unsettled const& decision, time_point now,
               flow_output out);
    void apply(bookings::claim_absent const& decision, time_point now,
               flow_output out);
    void use_earlier_result(request_state& request, stage_index n,
                            bookings::claim_duplicate const& decision,
                            time_point now, flow_output out);
    void apply_results(std::vector<stage_result>& results, time_point now,
                       flow_output out);
    void on_stage_completed(request_state& request, stage_result const& result,
                            time_point now, flow_output out);
    void on_stage_failed(request_state& request, stage_result const& result,
                         time_point now, flow_output out);
    void fail_request(request_state& request, error reason,
                      duration retry_after, time_point now, flow_output out);
    void finish_request(request_state& request, answer body, time_point now,
                        flow_output out);
    void settle_claims(request_state& request, time_point now, flow_output out);
    // Replaces outcome queries in `batch` by effects with the address of the
    // service. Must run while the claims are still registered.
    void resolve_service_queries(bookings::booking_effects& batch,
                                 flow_output out);
    void erase_if_settled(request_id id);
    void answer_query(request_id query, answer body, flow_output out);

    flow_dependencies dependencies_;
    executor executor_;
    request_table requests_;
    claim_registry claims_;
    bookings::booking_effects pending_effects_; //!< not processed yet
    wall_time wall_time_{};
};

} // namespace buckthornvale::decision::requests

#endif
