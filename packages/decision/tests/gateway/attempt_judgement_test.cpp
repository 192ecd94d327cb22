#include <buckthornvale/decision/gateway/attempt_judgement.hpp>

#include <gtest/gtest.h>

namespace buckthornvale::decision::gateway
{
namespace
{

constexpr body_framing framings[] = {body_framing::length, body_framing::chunks,
                                     body_framing::connection};

attempt_ended whole_stream(body_framing framing)
{
    attempt_ended out;
    out.transport = transport_end::complete;
    out.framing = framing;
    out.status = 200;
    out.sealed = true;
    out.event_stream = true;
    out.has_events = true;
    out.last_event_id = "3";
    return out;
}

TEST(attempt_judgement, takes_a_whole_stream_of_any_framing_for_an_answer)
{
    for (auto const framing : framings)
    {
        auto const in = whole_stream(framing);
        EXPECT_EQ(judge_attempt(in), attempt_outcome::answered);
    }
}

// Guards against a broken stream that ends as complete.
TEST(attempt_judgement, takes_no_stream_that_ends_inside_an_event)
{
    for (auto const framing : framings)
    {
        auto in = whole_stream(framing);
        in.inside_event = true;
        EXPECT_EQ(judge_attempt(in), attempt_outcome::interrupted);
    }
}

// Without length and chunks, the end of the connection is the only end.
TEST(attempt_judgement, takes_no_stream_without_events_and_framing)
{
    auto in = whole_stream(body_framing::connection);
    in.has_events = false;
    EXPECT_EQ(judge_attempt(in), attempt_outcome::interrupted);
}

TEST(attempt_judgement, takes_no_answer_that_was_broken_off)
{
    for (auto const framing : framings)
    {
        auto in = whole_stream(framing);
        in.transport = transport_end::broken_off;
        EXPECT_EQ(judge_attempt(in), attempt_outcome::interrupted);
        in.event_stream = false;
        EXPECT_EQ(judge_attempt(in), attempt_outcome::interrupted);
    }
}

} // namespace
} // namespace buckthornvale::decision::gateway
