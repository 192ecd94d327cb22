#include <buckthornvale/serving/metrics/metrics_registry.hpp>

#include <gtest/gtest.h>

namespace buckthornvale::serving::metrics
{
namespace
{

namespace requests = decision::requests;

requests::request_counted request_of(std::string organisation,
                                     requests::outcome result)
{
    requests::request_counted value;
    value.pipeline = "quote";
    value.organisation = std::move(organisation);
    value.result = result;
    value.in_target = result == requests::outcome::completed;
    value.took = std::chrono::milliseconds(40);
    return value;
}

bool contains(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

class metrics_registry_test : public testing::Test
{
protected:
    metrics_registry_test()
    {
        metrics.set_organisations(organisations);
        metrics.set_pipelines(pipelines);
    }

    std::vector<std::string> const organisations = {"large", "small", "tiny"};
    std::vector<std::string> const pipelines = {"quote"};
    metrics_registry metrics{metrics_settings{2, 2}};
};

// Guards against renamed metrics or labels, which dashboards and the burn
// report read.
TEST_F(metrics_registry_test, names_metrics_and_labels_as_documented)
{
    metrics.count(request_of("large", requests::outcome::completed));
    requests::stage_counted stage;
    stage.pipeline = "quote";
    stage.stage = "encode";
    stage.took = std::chrono::seconds(2);
    stage.wasted = true;
    metrics.count(stage);
    metrics.count(requests::event_counted{requests::counter::store_call, 3.});
    auto const text = metrics.to_text();
    for (auto const* line :
         {"buckthornvale_request_seconds_count{pipeline=\"quote\","
          "rank=\"standard\"} 1",
          "buckthornvale_requests_total{organisation=\"large\","
          "outcome=\"completed\",pipeline=\"quote\",rank=\"standard\"} 1",
          "buckthornvale_requests_in_target_total{organisation=\"large\","
          "pipeline=\"quote\",rank=\"standard\"} 1",
          "buckthornvale_stage_seconds_total{pipeline=\"quote\","
          "rank=\"standard\",stage=\"encode\"} 2",
          "buckthornvale_wasted_stage_seconds_total{pipeline=\"quote\","
          "stage=\"encode\"} 2",
          "buckthornvale_store_calls_total 3"})
        EXPECT_TRUE(contains(text, line)) << line << "\n" << text;
}

// Guards against callers that create time series by sending made-up names.
TEST_F(metrics_registry_test, counts_names_beyond_the_bound_as_other)
{
    for (auto const* it : {"large", "small", "tiny", "made_up"})
        metrics.count(request_of(it, requests::outcome::not_run));
    auto unknown = request_of("large", requests::outcome::not_run);
    unknown.pipeline = "made_up";
    metrics.count(unknown);
    auto const text = metrics.to_text();
    EXPECT_TRUE(contains(text, "organisation=\"other\",outcome=\"not_run\","
                               "pipeline=\"quote\",rank=\"standard\"} 2"))
        << text;
    EXPECT_TRUE(contains(text, "pipeline=\"other\""));
    EXPECT_FALSE(contains(text, "made_up"));
}

// Guards against refusals that make slow answers look fast.
TEST_F(metrics_registry_test, leaves_refusals_out_of_the_time_histogram)
{
    metrics.count(request_of("large", requests::outcome::not_run));
    EXPECT_FALSE(contains(metrics.to_text(), "request_seconds_count"));
}

// Guards against a number of series that grows with each settings change.
TEST(label_set, bounds_the_names_over_its_life)
{
    label_set labels(1);
    for (auto const* it : {"a", "b", "c"})
        labels.set(std::vector<std::string>{it});
    EXPECT_EQ(labels.value_of("c"), "other");
    labels.set(std::vector<std::string>{"a"});
    EXPECT_EQ(labels.value_of("a"), "a");
}

} // namespace
} // namespace buckthornvale::serving::metrics
