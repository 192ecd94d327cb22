#ifndef BUCKTHORNVALE_GATEWAY_OBSERVE_GATEWAY_METRICS_HPP
#define BUCKTHORNVALE_GATEWAY_OBSERVE_GATEWAY_METRICS_HPP

#include <buckthornvale/decision/core/time.hpp>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstddef>
#include <optional>
#include <string>

namespace buckthornvale::gateway::observe
{

//! Metrics of one gateway process. Label values come from fixed sets, which
//! bounds the number of time series.
class gateway_metrics
{
public:
    gateway_metrics();

    //! Counts a finished request. `outcome` is "answered", "aborted",
    //! "caller_left", "malformed" or the name of a refusal.
    void count_request(char const* outcome, decision::duration elapsed);

    //! Counts an answer of the gateway itself by the rank of the route.
    void count_refusal(char const* reason, std::optional<int> route_rank);
    void count_send();

    //! Records how soon a model runner is expected to start a request that is
    //! sent to it.
    void observe_expected_first_event(decision::duration expected);
    void count_stage_call(std::size_t pieces);

    //! Counts bytes of callers that were read and dropped.
    void count_discarded_input(std::size_t bytes);

    //! Counts a return of the store from a copy.
    void count_store_restore();

    //! Counts an answer of the store that did not come in time.
    void count_overdue_store_answer();

    //! Records how much later than planned the periodic tick of the event loop
    //! ran.
    void observe_tick_delay(decision::duration delay);
    void set_active(std::size_t requests, std::size_t connections);

    //! Sets the number of runners that name a limit on their requests.
    void set_limited_runners(std::size_t n);

    //! Sets the number of failure domains that the operator evacuates.
    void set_evacuated_domains(std::size_t n);

    //! Sets the number of runners that are cold.
    void set_cold_runners(std::size_t n);

    //! Counts a connection that was ended for the sake of others.
    void count_ended_connection();

    //! Sets the bytes that callers make the process hold.
    void set_caller_bytes(std::size_t n);

    //! Serialises all metrics in the Prometheus text format.
    std::string to_text() const;

private:
    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter>& requests_;
    prometheus::Family<prometheus::Counter>& refusals_;
    prometheus::Histogram& request_seconds_;
    prometheus::Counter& sends_;
    prometheus::Histogram& expected_first_event_seconds_;
    prometheus::Counter& discarded_input_bytes_;
    prometheus::Counter& store_restores_;
    prometheus::Counter& overdue_store_answers_;
    prometheus::Histogram& stage_call_pieces_;
    prometheus::Histogram& tick_delay_seconds_;
    prometheus::Gauge& active_requests_;
    prometheus::Gauge& connections_;
    prometheus::Gauge& limited_runners_;
    prometheus::Gauge& evacuated_domains_;
    prometheus::Gauge& cold_runners_;
    prometheus::Counter& ended_connections_;
    prometheus::Gauge& caller_bytes_;
};

} // namespace buckthornvale::gateway::observe

#endif
