#include "fleet_fixture.hpp"

namespace buckthornvale::gateway
{
namespace
{

using standins::fleet_platform::received_request;
using standins::fleet_platform::runner_standin;
using standins::fleet_platform::scripted_answer;

// A quarter of the memory of a small VM, including the buffers of sockets.
constexpr std::size_t max_endless_bytes = 30'000'000;

//! A gateway with one runner of each kind. The next answer of a runner goes on
//! without end.
class endless_answer : public fleet_fixture
{
protected:
    endless_answer() : gateway(start_gateway("vm-0")) {}

    //! Sends a request, with so many pieces for its stage, that the runner
    //! answers by the script. Returns the answer to the caller.
    std::string exchange_with(
        runner& from, std::string const& path,
        std::function<scripted_answer(received_request const&)> script,
        std::string const& pieces = {})
    {
        from.script.push_back(std::move(script));
        return exchange(request("POST", path, "body", pieces));
    }

    std::unique_ptr<runner> plain = add_runner("plain-1", "plain");
    std::unique_ptr<runner> engine = add_runner("engine-1", "engine");
    std::unique_ptr<runner> stage = add_runner("stage-1", "stage");
    std::unique_ptr<gateway_process> gateway;
};

// Guards against runners that send bytes without end, until the memory of the
// VM is full.
TEST_F(endless_answer, ends_an_answer_whose_head_has_no_end)
{
    auto const answer = exchange_with(*plain, "/book/x",
                                      [](received_request const&)
                                      {
                                          scripted_answer out;
                                          out.bytes = "HTTP/1.1 200 OK\r\n";
                                          out.endless = "X-Pad: 0123456789\r\n";
                                          return out;
                                      });
    EXPECT_EQ(answer.rfind("HTTP/1.1 502", 0), 0U) << answer;
}

TEST_F(endless_answer, ends_an_answer_whose_body_has_no_end)
{
    auto const answer =
        exchange_with(*plain, "/book/x",
                      [](received_request const& in)
                      {
                          auto out =
                              runner_standin::without_length(in, "whole");
                          out.close = false;
                          out.endless = std::string(65'536, 'x');
                          return out;
                      });
    EXPECT_EQ(answer.rfind("HTTP/1.1 502", 0), 0U) << answer;
    EXPECT_LE(plain->endless_bytes, max_endless_bytes);
}

TEST_F(endless_answer, ends_a_stream_whose_event_has_no_end)
{
    auto const answer = exchange_with(
        *engine, "/stream/x",
        [](received_request const& in)
        {
            scripted_answer out;
            out.bytes = runner_standin::stream_head(in);
            http::append_chunk(out.endless, std::string(65'536, 'x'));
            return out;
        });
    EXPECT_FALSE(contains(answer, "xxx"));
    EXPECT_LE(engine->endless_bytes, max_endless_bytes);
}

// A stage runner that sent bytes without end was read until 64 MB were held, on
// VMs that have 120 MB.
TEST_F(endless_answer, ends_a_stage_answer_without_end)
{
    auto const answer = exchange_with(
        *stage, "/staged/x",
        [](received_request const& in)
        {
            auto out = runner_standin::without_length(in, R"({"items":[)");
            out.close = false;
            out.endless = std::string(65'536, ' ');
            return out;
        },
        "1");
    EXPECT_EQ(answer.rfind("HTTP/1.1 200", 0), 0U) << answer;
    EXPECT_GT(stage->endless_bytes, 0U);
    EXPECT_LE(stage->endless_bytes, max_endless_bytes);
}

} // namespace
} // namespace buckthornvale::gateway
