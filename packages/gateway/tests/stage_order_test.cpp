#include "fleet_fixture.hpp"
#include <buckthornvale/http/text.hpp>

#include <nlohmann/json.hpp>

#include <map>
#include <set>
#include <utility>

namespace buckthornvale::gateway
{
namespace
{

using nlohmann::json;
using standins::fleet_platform::received_request;
using standins::fleet_platform::runner_standin;
using standins::fleet_platform::scripted_answer;

constexpr char const* staged_path = "/staged/";

//! A gateway with a route whose stages are written in some way. The stand-in of
//! the stage runner notes for which stage each result was made.
class written_stages : public fleet_fixture
{
protected:
    written_stages()
    {
        stage->usual_answer = [this](received_request const& in)
        { return answer(in); };
        run_for(std::chrono::milliseconds(400));
    }

    //! Lists other stages for the route, in a new manifest.
    void put_stages(json const& stages)
    {
        using decision::gateway::request_kind;
        auto manifest = standins::fleet_platform::manifest_of(
            2, {{staged_path, request_kind::stream, "engine", 1, false, {}},
                {"/read/", request_kind::idempotent, "plain", 2, false, {}}});
        manifest["routes"][0]["stages"] = stages;
        object_store.put_manifest(std::move(manifest));
        gateway = start_gateway("vm-0");
    }

    std::string exchange_staged(std::string const& counts)
    {
        return exchange(
            request("POST", staged_path + std::string("x"), "", counts));
    }

    using stage_piece = std::pair<std::size_t, std::size_t>;
    using stage_pieces = std::multiset<stage_piece>;

    //! All pieces of these stages, however often one is named.
    static stage_pieces pieces_of(std::set<std::size_t> const& numbers,
                                  std::vector<std::size_t> const& counts)
    {
        stage_pieces out;
        for (auto const stage_number : numbers)
            for (std::size_t n = 0; n < counts.at(stage_number); ++n)
                out.emplace(stage_number, n);
        return out;
    }

    stage_pieces makers_of(std::vector<std::string> const& handles) const
    {
        stage_pieces out;
        for (auto const& it : handles)
            out.insert(made_for.at(it));
        return out;
    }

    std::unique_ptr<runner> plain = add_runner("plain-1", "plain");
    std::unique_ptr<runner> engine = add_runner("engine-1", "engine");
    std::unique_ptr<runner> stage = add_runner("stage-1", "stage");
    std::unique_ptr<gateway_process> gateway;
    std::vector<json> items;                     //!< of all calls of stages
    std::map<std::string, stage_piece> made_for; //!< by handle

private:
    scripted_answer answer(received_request const& in)
    {
        if (!in.stage_call)
            return runner_standin::proper(in, "{}");
        auto results = json::array();
        auto const body = json::parse(in.body);
        for (auto const& it : body.at("items"))
        {
            items.push_back(it);
            auto const handle =
                stage->address() + "/" + std::to_string(made_for.size());
            made_for[handle] = {it.at("stage"), it.at("piece")};
            results.push_back({{"handle", handle}});
        }
        return runner_standin::proper(in, json{{"items", results}}.dump());
    }
};

struct stage_plan
{
    char const* name;
    char const* stages;
    std::vector<std::size_t> counts;
    char const* terminal; //!< the stages that no other reads
};

class stages_in_any_order : public written_stages,
                            public testing::WithParamInterface<stage_plan>
{
};

// A stage that reads the results of one with a larger number was given none,
// and the model runner the results of both.
TEST_P(stages_in_any_order, are_given_the_results_that_they_read)
{
    auto const& plan = GetParam();
    auto const stages = json::parse(plan.stages);
    put_stages(stages);
    std::string counts;
    for (auto const n : plan.counts)
        counts += (counts.empty() ? "" : ",") + std::to_string(n);
    auto const answer = exchange_staged(counts);
    ASSERT_TRUE(contains(answer, "200 OK")) << answer;
    std::size_t expected = 0;
    for (auto const n : plan.counts)
        expected += n;
    EXPECT_EQ(items.size(), expected);
    for (auto const& it : items)
    {
        auto const& after =
            stages.at(it.at("stage").get<std::size_t>())["after"];
        auto const inputs = it.value("inputs", std::vector<std::string>());
        EXPECT_EQ(makers_of(inputs), pieces_of(after, plan.counts)) << it;
        EXPECT_EQ(it.contains("key"), after.empty()) << it;
    }
    ASSERT_EQ(engine->received.size(), 1U);
    std::vector<std::string> final_inputs;
    for (auto const it : http::split(engine->received[0].inputs, ','))
        final_inputs.emplace_back(it);
    EXPECT_EQ(makers_of(final_inputs),
              pieces_of(json::parse(plan.terminal), plan.counts));
}

INSTANTIATE_TEST_SUITE_P(
    of, stages_in_any_order,
    testing::Values(stage_plan{"two_in_order",
                               R"([{"service":"stage","after":[]},
                       {"service":"stage","after":[0]}])",
                               {2, 1},
                               "[1]"},
                    stage_plan{"two_backwards",
                               R"([{"service":"stage","after":[1]},
                       {"service":"stage","after":[]}])",
                               {1, 2},
                               "[0]"},
                    stage_plan{"four_backwards",
                               R"([{"service":"stage","after":[1]},
                       {"service":"stage","after":[2]},
                       {"service":"stage","after":[3]},
                       {"service":"stage","after":[]}])",
                               {1, 3, 2, 1},
                               "[0]"},
                    stage_plan{"a_diamond",
                               R"([{"service":"stage","after":[3,2]},
                       {"service":"stage","after":[]},
                       {"service":"stage","after":[1]},
                       {"service":"stage","after":[1]}])",
                               {1, 2, 2, 3},
                               "[0]"},
                    stage_plan{"two_ends",
                               R"([{"service":"stage","after":[2]},
                       {"service":"stage","after":[2,2]},
                       {"service":"stage","after":[]}])",
                               {1, 1, 2},
                               "[0,1]"}),
    [](auto const& it) { return std::string(it.param.name); });

struct odd_plan
{
    char const* name;
    char const* stages;
};

class odd_stages : public written_stages,
                   public testing::WithParamInterface<odd_plan>
{
};

// What could not be read of the stages was left out, and the rest was run as if
// it were all.
TEST_P(odd_stages, refuse_the_requests_of_their_route_alone)
{
    put_stages(json::parse(GetParam().stages));
    auto const answer = exchange_staged("1,1");
    EXPECT_TRUE(contains(answer, "HTTP/1.1 503")) << answer;
    EXPECT_TRUE(contains(answer, "Retry-After: ")) << answer;
    EXPECT_TRUE(items.empty());
    EXPECT_TRUE(engine->received.empty());
    EXPECT_TRUE(contains(exchange(request("GET", "/read/x")), "200 OK"));
}

INSTANTIATE_TEST_SUITE_P(
    of, odd_stages,
    testing::Values(odd_plan{"a_cycle", R"([{"service":"stage","after":[1]},
                                            {"service":"stage","after":[0]}])"},
                    odd_plan{"unknown", R"([{"service":"stage","after":[2]},
                                            {"service":"stage","after":[]}])"},
                    odd_plan{"a_text", R"([{"service":"stage","after":["1"]},
                                           {"service":"stage","after":[]}])"},
                    odd_plan{"no_list", R"([{"service":"stage","after":1},
                                            {"service":"stage","after":[]}])"},
                    odd_plan{"no_service", R"([{"after":[]},
                                               {"service":"stage"}])"},
                    odd_plan{"no_stages", R"({"service":"stage"})"}),
    [](auto const& it) { return std::string(it.param.name); });

// More pieces than the gateway can hold were lowered to what it can hold, and
// the model runner got some of its inputs.
TEST_F(written_stages, are_not_run_for_a_count_that_cannot_be_held)
{
    put_stages(json::parse(R"([{"service":"stage","after":[]}])"));
    for (auto const* it : {"1025", "x", "99999999999999999999", "1;2"})
    {
        auto const answer = exchange_staged(it);
        EXPECT_TRUE(contains(answer, "HTTP/1.1 400")) << answer;
        EXPECT_TRUE(contains(answer, "X-Pieces")) << answer;
    }
    // The counts of stages of another version of the manifest.
    EXPECT_TRUE(contains(exchange_staged("1,1"), "HTTP/1.1 503"));
    EXPECT_TRUE(items.empty());
    EXPECT_TRUE(engine->received.empty());
    EXPECT_TRUE(contains(exchange_staged("3"), "200 OK"));
    EXPECT_EQ(items.size(), 3U);
}

} // namespace
} // namespace buckthornvale::gateway
