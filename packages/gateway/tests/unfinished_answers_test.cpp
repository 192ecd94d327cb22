#include "fleet_fixture.hpp"

namespace buckthornvale::gateway
{
namespace
{

using standins::fleet_platform::answer_head;
using standins::fleet_platform::received_request;
using standins::fleet_platform::runner_standin;
using standins::fleet_platform::scripted_answer;

constexpr char const* last_chunk = "\r\n0\r\n\r\n";

std::string chunk(std::string const& text)
{
    std::string out;
    http::append_chunk(out, text);
    return out;
}

//! A stream whose framing ends regularly after the events.
struct framed_stream
{
    char const* framing;
    scripted_answer (*answer)(received_request const& in,
                              std::string const& events);
};

scripted_answer in_chunks(received_request const& in, std::string const& events)
{
    scripted_answer out;
    out.bytes =
        runner_standin::stream_head(in) + chunk(events) + "0" + "\r\n\r\n";
    return out;
}

constexpr framed_stream framed_streams[] = {
    {"length", runner_standin::proper},
    {"chunks", in_chunks},
    {"connection", runner_standin::without_length},
};

//! An answer that a runner gives in place of the rest of a stream.
struct other_answer
{
    char const* name;
    answer_head head;
};

void PrintTo(other_answer const& it, std::ostream* out)
{
    *out << it.name;
}

//! The head names its request in each of them.
other_answer const other_answers[] = {
    {"server_error", {"500 Internal Server Error"}},
    {"unavailable", {"503 Service Unavailable"}},
    {"not_found", {"404 Not Found"}},
    {"redirect", {"302 Found"}},
    {"partial", {"206 Partial Content", true, true}},
    {"no_seal", {"200 OK"}},
    {"encoded", {"200 OK", true, true, false, true}},
};

class unfinished_answer : public fleet_fixture
{
protected:
    unfinished_answer() : gateway(start_gateway("vm-0")) {}

    using script_function =
        std::function<scripted_answer(received_request const&)>;

    //! The first send gets the first script and the second send the second
    //! one, whichever runner it reaches.
    void script_sends(script_function first, script_function second)
    {
        auto const sends = std::make_shared<int>(0);
        auto const next = [=](received_request const& in)
        { return ++*sends == 1 ? first(in) : second(in); };
        for (auto* it : {one.get(), other.get()})
        {
            it->script.clear();
            it->script.emplace_back(next);
        }
    }

    std::size_t sends() const
    {
        return one->received.size() + other->received.size();
    }

    std::unique_ptr<runner> one = add_runner("engine-1", "engine");
    std::unique_ptr<runner> other = add_runner("engine-2", "engine");
    std::unique_ptr<gateway_process> gateway;
};

scripted_answer break_off_inside_second_event(received_request const& in)
{
    scripted_answer out;
    out.bytes =
        runner_standin::stream_head(in) + chunk("id: 1\ndata: a\n\nid: 2\nda");
    out.close = true;
    return out;
}

// Guards against a broken stream that the caller takes for a complete one. An
// answer without length and chunks ends with its connection, so that only the
// incomplete event shows that the runner has crashed.
TEST_F(unfinished_answer, is_not_complete_when_a_stream_ends_inside_an_event)
{
    for (auto const& it : framed_streams)
    {
        auto const broken = [&](received_request const& in)
        { return it.answer(in, "id: 1\ndata: a\n\nid: 2\nda"); };
        script_sends(broken, broken);
        auto const answer = exchange(request("POST", "/stream/x", "prompt"));
        EXPECT_TRUE(contains(answer, "data: a")) << it.framing;
        EXPECT_FALSE(contains(answer, last_chunk)) << it.framing << answer;
        EXPECT_FALSE(contains(answer, "id: 2")) << it.framing << answer;
    }
}

// The same before the first event was forwarded.
TEST_F(unfinished_answer, is_not_delivered_when_its_first_event_is_incomplete)
{
    for (auto const& it : framed_streams)
    {
        auto const broken = [&](received_request const& in)
        { return it.answer(in, "id: 1\nda"); };
        script_sends(broken, broken);
        auto const answer = exchange(request("POST", "/stream/x", "prompt"));
        EXPECT_TRUE(contains(answer, "HTTP/1.1 502")) << it.framing << answer;
    }
}

TEST_F(unfinished_answer, is_not_delivered_when_it_has_neither_length_nor_event)
{
    auto const empty = [](received_request const& in)
    { return runner_standin::without_length(in, ""); };
    script_sends(empty, empty);
    auto const answer = exchange(request("POST", "/stream/x", "prompt"));
    EXPECT_TRUE(contains(answer, "HTTP/1.1 502")) << answer;
}

TEST_F(unfinished_answer, is_resumed_after_the_last_whole_event)
{
    for (auto const& it : framed_streams)
    {
        script_sends([&](received_request const& in)
                     { return it.answer(in, "id: 1\ndata: a\n\nid: 2\nda"); },
                     [&](received_request const& in)
                     {
                         EXPECT_EQ(in.last_event_id, "1") << it.framing;
                         return it.answer(in, "id: 2\ndata: b\n\n");
                     });
        auto const answer = exchange(request("POST", "/resume/x", "prompt"));
        EXPECT_TRUE(contains(answer, "id: 2\ndata: b\n\n")) << it.framing;
        EXPECT_TRUE(contains(answer, last_chunk)) << it.framing << answer;
    }
}

// Guards against blank lines and comments that are taken for an incomplete
// event: a sound stream would be broken off.
TEST_F(unfinished_answer, is_not_assumed_after_blank_lines_and_comments)
{
    for (auto const* end : {"\n", "\r\n", ": end\n", ": end\r\n\r\n"})
    {
        auto const events = "id: 1\ndata: a\n\n" + std::string(end);
        auto const sound = [&](received_request const& in)
        { return in_chunks(in, events); };
        script_sends(sound, sound);
        auto const answer = exchange(request("POST", "/stream/x", "prompt"));
        EXPECT_TRUE(contains(answer, last_chunk)) << answer;
        EXPECT_TRUE(contains(answer, end)) << answer;
    }
}

class other_answer_in_a_stream
    : public unfinished_answer,
      public testing::WithParamInterface<other_answer>
{
};

// Guards against an error of a second runner, its head or its text inside a
// stream that has begun, and against a regular end of that stream.
TEST_P(other_answer_in_a_stream, is_not_delivered)
{
    script_sends(
        break_off_inside_second_event, [](received_request const& in)
        { return runner_standin::with_head(in, GetParam().head, "wrong"); });
    auto const answer = exchange(request("POST", "/resume/x", "prompt"));
    EXPECT_EQ(sends(), 2U);
    EXPECT_TRUE(contains(answer, "data: a")) << answer;
    EXPECT_FALSE(contains(answer, "wrong")) << answer;
    EXPECT_EQ(answer.find("HTTP/1.1", 1), std::string::npos) << answer;
    EXPECT_FALSE(contains(answer, last_chunk)) << answer;
}

INSTANTIATE_TEST_SUITE_P(all, other_answer_in_a_stream,
                         testing::ValuesIn(other_answers));

// Guards against a stream that is joined of two runs: the second runner ignores
// where the stream is to be resumed and begins anew.
TEST_F(unfinished_answer, is_not_continued_with_events_that_were_sent_before)
{
    script_sends(
        break_off_inside_second_event, [](received_request const& in)
        { return in_chunks(in, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"); });
    auto const answer = exchange(request("POST", "/resume/x", "prompt"));
    auto const first = answer.find("id: 1\n");
    ASSERT_NE(first, std::string::npos) << answer;
    EXPECT_EQ(answer.find("id: 1\n", first + 1), std::string::npos) << answer;
    EXPECT_FALSE(contains(answer, last_chunk)) << answer;
}

} // namespace
} // namespace buckthornvale::gateway
