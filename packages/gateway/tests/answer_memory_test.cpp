#include <buckthornvale/gateway/runner_attempt.hpp>
#include <buckthornvale/http/message_parser.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <standins/fleet_platform/runner_standin.hpp>
#include <string>
#include <vector>

namespace buckthornvale::gateway
{
namespace
{

constexpr std::size_t max_bytes = 15'000'000;
constexpr std::size_t attempt_count = 40;

class fake_listener final : public runner_attempt::listener
{
public:
    void on_sse_events(runner_attempt&, std::string_view) override {}
    void on_runner_head(std::string const&,
                        platform::runner_response const&) override
    {
    }
    void on_answer_discarded(runner_attempt const&, int,
                             platform::runner_response const&) override
    {
    }
    void on_answer_too_large(runner_attempt const&, std::size_t) override
    {
        ++too_large;
    }
    void on_attempt_ended(runner_attempt&,
                          decision::gateway::attempt_ended const&) override
    {
    }

    std::size_t too_large = 0;
};

class ignoring_sink final : public http::message_sink
{
public:
    void on_head() override {}
    void on_body(std::string_view) override {}
    void on_complete() override {}
};

//! Head of a runner's answer to the request, as the platform writes it.
http::response_head sealed_head(std::string const& request_id)
{
    standins::fleet_platform::received_request request;
    request.id = request_id;
    ignoring_sink sink;
    http::message_parser parser(http::message_type::response, {}, sink);
    parser.feed(standins::fleet_platform::runner_standin::stream_head(request));
    return parser.response();
}

class answer_memory_test : public testing::TestWithParam<bool>
{
protected:
    std::unique_ptr<runner_attempt> start_answer()
    {
        auto out = std::make_unique<runner_attempt>(
            listener, memory, 1, 1, "runner", "id", GetParam(), "");
        EXPECT_EQ(out->on_answer_head(sealed_head("id")),
                  net::response_match::expected);
        return out;
    }

    //! Feeds all attempts in turn until each of them was rejected.
    void fill()
    {
        std::string const bytes(65'536, 'x');
        for (std::size_t n = 0; n < attempt_count; ++n)
            attempts.push_back(start_answer());
        std::size_t held = 0;
        auto open = attempts;
        while (!open.empty())
        {
            auto const rejected = std::remove_if(
                open.begin(), open.end(),
                [&](auto const& it) { return !it->on_answer_body(bytes); });
            open.erase(rejected, open.end());
            held += open.size() * bytes.size();
        }
        EXPECT_LE(held,
                  max_bytes + attempt_count * answer_memory::uncounted_bytes);
        EXPECT_EQ(listener.too_large, attempt_count);
    }

    fake_listener listener;
    std::shared_ptr<answer_memory> memory =
        std::make_shared<answer_memory>(max_bytes);
    std::vector<std::shared_ptr<runner_attempt>> attempts;
};

// Forty runners that sent bytes without end filled a VM of 120 MB, with 8 MB
// each. The processes of other callers ended with it.
TEST_P(answer_memory_test, bounds_answers_without_end_together)
{
    fill();
}

// A bound on the sum must not turn ordinary answers away.
TEST_P(answer_memory_test, leaves_room_for_ordinary_answers)
{
    fill();
    EXPECT_TRUE(start_answer()->on_answer_body(std::string(10'000, 'x')));
}

TEST_P(answer_memory_test, is_given_back_when_an_answer_ends)
{
    fill();
    attempts.clear();
    EXPECT_EQ(memory->reserved(), 0U);
    EXPECT_TRUE(start_answer()->on_answer_body(std::string(500'000, 'x')));
}

INSTANTIATE_TEST_SUITE_P(bodies_and_streams, answer_memory_test,
                         testing::Bool());

} // namespace
} // namespace buckthornvale::gateway
