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

//! The concerns that a request passes through; all outlive the flow.
struct flow_parts
{
    admission::admission_controller& admission;
    bookings::booking_table& bookings;
    isolation::crash_isolation& isolation;
    routing::router& router;
    retry::retry_budget& budget;
    retry::deadline_split& split;
    retry::hedge_policy& hedges;
    settings_view const& settings;
};

//! Where the flow appends what it decided.
struct flow_output
{
    effect_list& requests;
    bookings::booking_effects& store; //!< without the claim decisions
};

//! Where the outcome of a non-repeatable stage can be asked.
struct outcome_source
{
    runner_entry runner;
    std::string service_key; //!< key as the service saw it
};

//! Takes each request from its arrival to its one answer: checks, admission,
//! claims, stages, deadline. Only this class decides which of the three
//! outcomes a caller is told.
class request_flow final : private once_guard
{
public:
    request_flow(flow_parts parts, failure_domain_id local_domain,
                 std::uint64_t incarnation);

    void received(request_received const& event, time_point now,
                  flow_output out);
    void gone(caller_gone const& event, time_point now, flow_output out);
    void asked(outcome_asked const& event, time_point now, flow_output out);
    void token(attempt_token const& event, time_point now, flow_output out);
    void ended(attempt_ended const& event, time_point now, flow_output out);
    void service_told(service_outcome_told const& event, time_point now,
                      flow_output out);

    //! Takes the claim decisions out of `effects` and passes the rest on.
    void claims_decided(bookings::booking_effects& effects, time_point now,
                        flow_output out);

    void tick(time_point now, wall_time wall, flow_output out);

    std::size_t in_flight() const { return requests_.size(); }

    //! Attempts in flight that use a model, by the model's hash.
    std::map<std::uint64_t, double> attempts_by_model() const
    {
        return executor_.attempts_by_model(requests_);
    }

    //! The runner that can tell the outcome of a claim, by the id that the
    //! claim was made with; empty when there is none.
    std::optional<outcome_source> outcome_source_of(request_id claim) const;

private:
    bool dispatch(request_state const& request, stage_index n,
                  time_point now) override;

    request_state make_state(request_received const& event, time_point now,
                             isolation::fingerprint content) const;
    void refuse(request_received const& event, error reason,
                duration retry_after, flow_output out);
    void poll_admission(time_point now, flow_output out);
    void begin_claims(request_state& request, time_point now, flow_output out);
    void begin_run(request_state& request, time_point now, flow_output out);
    void drain_claims(time_point now, flow_output out);
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
    void stage_done(request_state& request, stage_result const& result,
                    time_point now, flow_output out);
    void stage_failed(request_state& request, stage_result const& result,
                      time_point now, flow_output out);
    void conclude(request_state& request, error reason, duration retry_after,
                  time_point now, flow_output out);
    void finish(request_state& request, answer body, time_point now,
                flow_output out);
    void settle_claims(request_state& request, time_point now, flow_output out);
    // Addresses the questions to services in `batch`; the claims that they
    // name must still be registered.
    void resolve_questions(bookings::booking_effects& batch, flow_output out);
    void erase_if_settled(request_id id);
    void answer_query(request_id query, answer body, flow_output out);

    flow_parts parts_;
    executor executor_;
    request_table requests_;
    claim_registry claims_;
    bookings::booking_effects decided_; //!< claim effects being handled
    wall_time wall_{};
};

} // namespace buckthornvale::decision::requests

#endif
