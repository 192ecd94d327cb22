#include <buckthornvale/serving/metrics/metrics_registry.hpp>

#include <prometheus/text_serializer.h>

namespace buckthornvale::serving::metrics
{

namespace requests = decision::requests;

namespace
{

constexpr char prefix[] = "buckthornvale_";

//! Upper bounds in seconds; they include the design's 0.38 s to the first
//! token and the 3 s deadline.
prometheus::Histogram::BucketBoundaries const request_buckets = {
    0.01, 0.025, 0.05, 0.1, 0.2, 0.38, 0.75, 1.5, 3., 6., 15., 60.};

std::string text_of(decision::rank value)
{
    return std::string(decision::name_of(value));
}

} // namespace

metrics_registry::metrics_registry(metrics_settings const& settings)
    : organisations_(settings.max_organisations),
      pipelines_(settings.max_pipelines),
      request_seconds_(prometheus::BuildHistogram()
                           .Name("buckthornvale_request_seconds")
                           .Help("Time from arrival to answer of requests "
                                 "that ran or may have run")
                           .Register(registry_)),
      requests_(make_counter("buckthornvale_requests_total",
                             "Answered requests by outcome")),
      requests_in_target_(
          make_counter("buckthornvale_requests_in_target_total",
                       "Requests completed within the target of their rank")),
      stage_seconds_(make_counter("buckthornvale_stage_seconds_total",
                                  "Time of ended stage attempts")),
      wasted_stage_seconds_(
          make_counter("buckthornvale_wasted_stage_seconds_total",
                       "Time of stage attempts whose output was not used"))
{
}

metrics_registry::counter_family&
metrics_registry::make_counter(char const* name, char const* help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry_);
}

void metrics_registry::set_organisations(absl::Span<std::string const> names)
{
    organisations_.set(names);
}

void metrics_registry::set_pipelines(absl::Span<std::string const> names)
{
    pipelines_.set(names);
}

void metrics_registry::count(requests::request_counted const& value)
{
    prometheus::Labels labels = {
        {"rank", text_of(value.work_rank)},
        {"pipeline", pipelines_.value_of(value.pipeline)}};
    if (value.result != requests::outcome::not_run)
        request_seconds_.Add(labels, request_buckets)
            .Observe(decision::to_seconds(value.took));
    labels["organisation"] = organisations_.value_of(value.organisation);
    if (value.in_target)
        requests_in_target_.Add(labels).Increment();
    labels["outcome"] = std::string(requests::name_of(value.result));
    requests_.Add(labels).Increment();
}

void metrics_registry::count(requests::stage_counted const& value)
{
    auto const seconds = decision::to_seconds(value.took);
    prometheus::Labels labels = {
        {"pipeline", pipelines_.value_of(value.pipeline)},
        {"stage", value.stage}};
    if (value.wasted)
        wasted_stage_seconds_.Add(labels).Increment(seconds);
    labels["rank"] = text_of(value.work_rank);
    stage_seconds_.Add(labels).Increment(seconds);
}

void metrics_registry::count(requests::event_counted const& value)
{
    auto const name = prefix + std::string(requests::name_of(value.which));
    prometheus::BuildCounter()
        .Name(name + "_total")
        .Help("Events of this kind")
        .Register(registry_)
        .Add({})
        .Increment(value.amount);
}

std::string metrics_registry::to_text() const
{
    return prometheus::TextSerializer().Serialize(registry_.Collect());
}

} // namespace buckthornvale::serving::metrics
