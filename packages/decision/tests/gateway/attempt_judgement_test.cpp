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
        EXPECT_EQ(judge_attempt(in, false), attempt_outcome::answered);
    }
}

// Guards against a broken stream that ends as complete.
TEST(attempt_judgement, takes_no_stream_that_ends_inside_an_event)
{
    for (auto const framing : framings)
    {
        auto in = whole_stream(framing);
        in.inside_event = true;
        EXPECT_EQ(judge_attempt(in, false), attempt_outcome::interrupted);
    }
}

// Without length and chunks, the end of the connection is the only end.
TEST(attempt_judgement, takes_no_stream_without_events_and_framing)
{
    auto in = whole_stream(body_framing::connection);
    in.has_events = false;
    EXPECT_EQ(judge_attempt(in, false), attempt_outcome::interrupted);
}

TEST(attempt_judgement, takes_no_answer_that_was_broken_off)
{
    for (auto const framing : framings)
    {
        auto in = whole_stream(framing);
        in.transport = transport_end::broken_off;
        EXPECT_EQ(judge_attempt(in, false), attempt_outcome::interrupted);
        in.event_stream = false;
        EXPECT_EQ(judge_attempt(in, false), attempt_outcome::interrupted);
    }
}

// Guards against the error of a second runner in the middle of a stream, and
// against a stream that ends as complete with that error.
TEST(attempt_judgement, takes_no_other_answer_for_the_rest_of_a_stream)
{
    for (int const status : {200, 204, 302, 404, 429, 500, 503})
    {
        attempt_ended in;
        in.transport = transport_end::complete;
        in.status = status;
        in.identified = true;
        in.sealed = true;
        EXPECT_EQ(judge_attempt(in, true), attempt_outcome::interrupted);
        EXPECT_EQ(judge_attempt(in, false), attempt_outcome::answered);
        in.not_executed = true;
        EXPECT_EQ(judge_attempt(in, true), attempt_outcome::refused);
    }
}

// Guards against an earlier refusal, written again without the id of its
// request: the caller would be told that a running request did not run.
TEST(attempt_judgement, believes_no_refusal_that_names_no_request)
{
    for (auto const transport :
         {transport_end::complete, transport_end::broken_off})
    {
        attempt_ended in;
        in.transport = transport;
        in.status = 503;
        in.not_executed = true;
        EXPECT_EQ(judge_attempt(in, false), attempt_outcome::interrupted);
        in.identified = true;
        EXPECT_EQ(judge_attempt(in, false), attempt_outcome::refused);
    }
}

} // namespace
} // namespace buckthornvale::decision::gateway
