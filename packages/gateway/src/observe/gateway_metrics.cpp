#include <buckthornvale/gateway/observe/gateway_metrics.hpp>

#include <prometheus/text_serializer.h>

#include <sstream>

namespace buckthornvale::gateway::observe
{

namespace
{

prometheus::Counter& add_counter(prometheus::Registry& registry,
                                 char const* name, char const* help)
{
    return prometheus::BuildCounter()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add({});
}

prometheus::Gauge& add_gauge(prometheus::Registry& registry, char const* name,
                             char const* help)
{
    return prometheus::BuildGauge()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add({});
}

prometheus::Histogram&
add_histogram(prometheus::Registry& registry, char const* name,
              char const* help,
              prometheus::Histogram::BucketBoundaries const& bucket_bounds)
{
    return prometheus::BuildHistogram()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add({}, bucket_bounds);
}

} // namespace

gateway_metrics::gateway_metrics()
    : requests_(prometheus::BuildCounter()
                    .Name("buckthornvale_gateway_requests_total")
                    .Help("Finished requests by outcome")
                    .Register(registry_)),
      refusals_(prometheus::BuildCounter()
                    .Name("buckthornvale_gateway_refusals_total")
                    .Help("Refused requests by reason and rank of the route")
                    .Register(registry_)),
      request_seconds_(add_histogram(
          registry_, "buckthornvale_gateway_request_seconds",
          "Time from the arrival of a request to its final response",
          {0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16})),
      sends_(add_counter(registry_, "buckthornvale_gateway_sends_total",
                         "Attempts to send a request to a runner")),
      expected_first_event_seconds_(add_histogram(
          registry_, "buckthornvale_gateway_expected_first_event_seconds",
          "Expected time from a send to a model runner to its first event",
          {0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8})),
      discarded_input_bytes_(add_counter(
          registry_, "buckthornvale_gateway_discarded_input_bytes_total",
          "Bytes of callers that were read and dropped")),
      store_restores_(add_counter(registry_,
                                  "buckthornvale_gateway_store_restores_total",
                                  "Returns of the store from a copy")),
      overdue_store_answers_(add_counter(
          registry_, "buckthornvale_gateway_overdue_store_answers_total",
          "Watches of the store whose answer did not come in time")),
      stage_call_pieces_(add_histogram(
          registry_, "buckthornvale_gateway_stage_call_pieces",
          "Pieces per call to a stage runner", {1, 2, 4, 8, 16, 32, 64, 128})),
      tick_delay_seconds_(
          add_histogram(registry_, "buckthornvale_gateway_tick_delay_seconds",
                        "Delay of the periodic tick of the event loop",
                        {0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2})),
      active_requests_(add_gauge(registry_,
                                 "buckthornvale_gateway_active_requests",
                                 "Requests without a final response")),
      connections_(add_gauge(registry_, "buckthornvale_gateway_connections",
                             "Open connections from callers")),
      limited_runners_(
          add_gauge(registry_, "buckthornvale_gateway_limited_runners",
                    "Runners that name a limit on their requests")),
      evacuated_domains_(
          add_gauge(registry_, "buckthornvale_gateway_evacuated_domains",
                    "Failure domains that the operator evacuates")),
      cold_runners_(add_gauge(registry_, "buckthornvale_gateway_cold_runners",
                              "Runners that are cold after a start")),
      ended_connections_(add_counter(
          registry_, "buckthornvale_gateway_ended_connections_total",
          "Connections that were ended because others needed what they held")),
      caller_bytes_(add_gauge(registry_, "buckthornvale_gateway_caller_bytes",
                              "Bytes held for callers and their requests"))
{
}

void gateway_metrics::count_request(char const* outcome,
                                    decision::duration elapsed)
{
    requests_.Add({{"outcome", outcome}}).Increment();
    request_seconds_.Observe(decision::to_seconds(elapsed));
}

void gateway_metrics::count_refusal(char const* reason,
                                    std::optional<int> route_rank)
{
    refusals_
        .Add({{"reason", reason},
              {"rank", route_rank ? std::to_string(*route_rank) : "none"}})
        .Increment();
}

void gateway_metrics::count_send()
{
    sends_.Increment();
}

void gateway_metrics::observe_expected_first_event(decision::duration expected)
{
    expected_first_event_seconds_.Observe(decision::to_seconds(expected));
}

void gateway_metrics::count_stage_call(std::size_t pieces)
{
    stage_call_pieces_.Observe(double(pieces));
}

void gateway_metrics::count_discarded_input(std::size_t bytes)
{
    discarded_input_bytes_.Increment(double(bytes));
}

void gateway_metrics::count_store_restore()
{
    store_restores_.Increment();
}

void gateway_metrics::count_overdue_store_answer()
{
    overdue_store_answers_.Increment();
}

void gateway_metrics::observe_tick_delay(decision::duration delay)
{
    tick_delay_seconds_.Observe(decision::to_seconds(delay));
}

void gateway_metrics::set_active(std::size_t requests, std::size_t connections)
{
    active_requests_.Set(double(requests));
    connections_.Set(double(connections));
}

void gateway_metrics::set_limited_runners(std::size_t n)
{
    limited_runners_.Set(double(n));
}

void gateway_metrics::set_evacuated_domains(std::size_t n)
{
    evacuated_domains_.Set(double(n));
}

void gateway_metrics::set_cold_runners(std::size_t n)
{
    cold_runners_.Set(double(n));
}

void gateway_metrics::count_ended_connection()
{
    ended_connections_.Increment();
}

void gateway_metrics::set_caller_bytes(std::size_t n)
{
    caller_bytes_.Set(double(n));
}

std::string gateway_metrics::to_text() const
{
    std::ostringstream out;
    prometheus::TextSerializer().Serialize(out, registry_.Collect());
    return out.str();
}

} // namespace buckthornvale::gateway::observe
