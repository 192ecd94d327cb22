#include "load_simulation.hpp"
#include <buckthornvale/decision/gateway/rank_shares.hpp>

#include <gtest/gtest.h>

namespace buckthornvale::decision::gateway
{
namespace
{

using namespace std::chrono_literals;

// Share of its callers that a class keeps on time while others are in a flood:
// the design's target.
constexpr double min_kept_share = 0.9;

// Largest lead of a class over a more urgent one.
constexpr double max_lead = 0.15;

// Largest lead in requests that are served at all.
constexpr double max_lead_in_served = 0.05;

// Share of the most urgent callers that may be late under overload: the
// design's target for work in vain.
constexpr double max_late_share = 0.02;

// Usual load.
constexpr double offers_per_s = 119;
constexpr double reviews_per_s = 81;
constexpr double chats_per_s = 100;

service make_stage_service(char const* name, piece_limits limits)
{
    service out;
    out.name = name;
    out.pieces = limits;
    return out;
}

route make_route(char const* path, int rank, duration target, duration timeout,
                 std::vector<route_stage> stages)
{
    route out;
    out.name = path;
    out.host = "h";
    out.path_prefix = path;
    out.kind = request_kind::stream;
    out.rank = rank;
    out.target_latency = target;
    out.timeout = timeout;
    out.services = {{"engine", 1}};
    out.max_event_gap = 300ms;
    out.stages = std::move(stages);
    return out;
}

// Three classes share the stage services. The most urgent one and the least
// urgent one need all of them, the middle one only the first.
std::shared_ptr<manifest> make_manifest()
{
    auto out = std::make_shared<manifest>();
    out->version = 1;
    service engine;
    engine.name = "engine";
    engine.engine = engine_limits{48, 350'000};
    out->services["engine"] = engine;
    for (auto const& it :
         {make_stage_service("first", {1, 2, 16, 200ms, 11ms, 36e6, 4s}),
          make_stage_service("second", {1, 2, 64, 200ms, 2700us, 8.3e6, 4s}),
          make_stage_service("third", {1, 2, 88, 200ms, 1900us, 1.2e6, 4s})})
        out->services[it.name] = it;
    out->add_route(make_route(
        "/offer/", 0, 1900ms, 6s,
        {{"first", {}, 8e3}, {"second", {0}, 60e3}, {"third", {1}, 6e3}}));
    out->add_route(
        make_route("/review/", 1, 1100ms, 6s, {{"first", {}, 1.5e6}}));
    out->add_route(make_route("/chat/", 2, 1800ms, 20s,
                              {{"first", {}, 1.5e6},
                               {"first", {}, 8e3},
                               {"second", {1}, 60e3},
                               {"third", {2}, 6e3}}));
    return out;
}

class competing_classes : public testing::Test
{
protected:
    void add(double offer, double review, double chat, duration length,
             duration start_in = {})
    {
        simulation.add_load({"/offer/", offers_per_s * offer, {1, 6, 10}},
                            length, start_in);
        simulation.add_load({"/review/", reviews_per_s * review, {2}}, length,
                            start_in);
        simulation.add_load({"/chat/", 0.4 * chats_per_s * chat, {1, 1, 6, 10}},
                            length, start_in);
        simulation.add_load({"/chat/", 0.6 * chats_per_s * chat, {0, 1, 6, 10}},
                            length, start_in);
    }

    double share(char const* path) const
    {
        return simulation.outcome(path).on_time_share();
    }

    void expect_all_kept() const
    {
        for (auto const* path : {"/offer/", "/review/", "/chat/"})
            EXPECT_GE(share(path), min_kept_share) << path;
    }

    double served(char const* path) const
    {
        auto const& outcome = simulation.outcome(path);
        return double(outcome.on_time + outcome.late) / outcome.callers;
    }

    void expect_ranks_in_order() const
    {
        EXPECT_GE(served("/offer/"), served("/review/") - max_lead_in_served);
        EXPECT_GE(served("/review/"), served("/chat/") - max_lead_in_served);
        EXPECT_GE(share("/offer/"), share("/review/") - max_lead);
        EXPECT_GE(share("/review/"), share("/chat/") - max_lead);
    }

    load_simulation simulation{
        make_manifest(),
        {{"engine", 90}, {"first", 18}, {"second", 15}, {"third", 16}}};
};

// Sixty per cent of the capacity. A pessimistic forecast refused the least
// urgent class although nothing was scarce.
TEST_F(competing_classes, are_all_served_in_calm)
{
    add(1, 1, 1, 8s);
    simulation.run();
    expect_all_kept();
}

// A steady load of 1.3 times the usual one, which still fits.
TEST_F(competing_classes, are_all_served_under_a_steady_load_that_fits)
{
    add(1.3, 1.3, 1.3, 8s);
    simulation.run();
    expect_all_kept();
}

// Twice the usual load of all classes exceeds the capacity. A less urgent class
// must not be served more often than a more urgent one.
TEST_F(competing_classes, stay_in_order_when_all_load_doubles)
{
    add(2, 2, 2, 8s);
    simulation.run();
    expect_ranks_in_order();
    EXPECT_GE(share("/offer/"), min_kept_share);
    auto const& offer = simulation.outcome("/offer/");
    EXPECT_LE(offer.late, max_late_share * offer.callers);
}

// The most urgent class triples for five seconds. The least urgent one was
// refused as long as the burst lasted, and its callers came back into it.
TEST_F(competing_classes, keep_a_share_in_a_burst_of_the_most_urgent)
{
    constexpr double calm_seconds = 7;
    constexpr double burst_seconds = 5;
    add(1, 1, 1, 12s);
    add(2, 0, 0, 5s, 3s);
    simulation.run();
    EXPECT_GE(share("/offer/"), min_kept_share);
    EXPECT_GE(share("/review/"), min_kept_share);
    expect_ranks_in_order();
    constexpr std::size_t more_urgent_ranks = 2;
    double const kept_in_burst =
        share_behind(more_urgent_ranks) * 3 * offers_per_s * burst_seconds;
    EXPECT_GE(simulation.outcome("/chat/").on_time,
              min_kept_share * chats_per_s * calm_seconds + kept_in_burst);
}

// The middle class triples. It shares only the first stage with the others.
TEST_F(competing_classes, are_all_served_in_a_burst_of_the_middle_rank)
{
    add(1, 1, 1, 12s);
    add(0, 2, 0, 5s, 3s);
    simulation.run();
    expect_all_kept();
}

} // namespace
} // namespace buckthornvale::decision::gateway
