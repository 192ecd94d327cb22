#include <buckthornvale/decision/gateway/attempt_judgement.hpp>

namespace buckthornvale::decision::gateway
{

namespace
{

//! A runner that crashes closes its connections, which also ends a body without
//! length and chunks. Only its last event shows that the stream is incomplete.
bool is_unfinished_stream(attempt_ended const& in)
{
    bool const is_empty =
        in.framing == body_framing::connection && !in.has_events;
    return in.event_stream && (in.inside_event || is_empty);
}

} // namespace

char const* name_of(attempt_outcome outcome)
{
    switch (outcome)
    {
    case attempt_outcome::answered:
        return "answered";
    case attempt_outcome::not_sent:
        return "not_sent";
    case attempt_outcome::no_answer:
        return "no_answer";
    case attempt_outcome::interrupted:
        return "interrupted";
    case attempt_outcome::refused:
        return "refused";
    }
    return "";
}

char const* name_of(body_framing framing)
{
    switch (framing)
    {
    case body_framing::length:
        return "length";
    case body_framing::chunks:
        return "chunks";
    case body_framing::connection:
        return "connection";
    }
    return "";
}

attempt_outcome judge_attempt(attempt_ended const& in, bool stream_begun)
{
    switch (in.transport)
    {
    case transport_end::not_sent:
        return attempt_outcome::not_sent;
    case transport_end::no_answer:
        return attempt_outcome::no_answer;
    case transport_end::broken_off:
    case transport_end::complete:
        break;
    }
    // A refusal that names no request may be an earlier one, written again.
    if (in.not_executed)
        return in.identified ? attempt_outcome::refused
                             : attempt_outcome::interrupted;
    if (in.transport == transport_end::broken_off)
        return attempt_outcome::interrupted;
    bool const other_answer = stream_begun && !in.event_stream;
    return other_answer || is_unfinished_stream(in)
               ? attempt_outcome::interrupted
               : attempt_outcome::answered;
}

} // namespace buckthornvale::decision::gateway
