#ifndef BUCKTHORNVALE_SERVING_METRICS_METRICS_REGISTRY_HPP
#define BUCKTHORNVALE_SERVING_METRICS_METRICS_REGISTRY_HPP

#include <buckthornvale/decision/requests/count_messages.hpp>
#include <buckthornvale/serving/metrics/label_set.hpp>

#include <absl/types/span.h>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstddef>
#include <string>

namespace buckthornvale::serving::metrics
{

//! Bounds of the number of time series.
struct metrics_settings
{
    std::size_t max_organisations = 20;
    std::size_t max_pipelines = 64;
};

//! Turns the reducer's counting effects into Prometheus metrics. Names that no
//! settings in force contain are counted under "other", because a caller can
//! send any name. Thread-safe.
class metrics_registry
{
public:
    explicit metrics_registry(metrics_settings const& settings);

    //! Names that get series of their own, most important first.
    void set_organisations(absl::Span<std::string const> names);
    void set_pipelines(absl::Span<std::string const> names);

    //! Requests that were not run count, but are not in the time histogram:
    //! early refusals would hide slow answers.
    void count(decision::requests::request_counted const& value);
    void count(decision::requests::stage_counted const& value);
    void count(decision::requests::event_counted const& value);

    //! All metrics in the Prometheus text format.
    std::string to_text() const;

private:
    template <class Metric>
    using family = prometheus::Family<Metric>;
    using counter_family = family<prometheus::Counter>;

    counter_family& make_counter(char const* name, char const* help);

    prometheus::Registry registry_;
    label_set organisations_;
    label_set pipelines_;
    family<prometheus::Histogram>& request_seconds_;
    counter_family& requests_;
    counter_family& requests_in_target_;
    counter_family& stage_seconds_;
    counter_family& wasted_stage_seconds_;
};

} // namespace buckthornvale::serving::metrics

#endif
