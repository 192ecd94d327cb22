#ifndef BUCKTHORNVALE_DECISION_GATEWAY_ATTEMPT_JUDGEMENT_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_ATTEMPT_JUDGEMENT_HPP

#include <buckthornvale/decision/gateway/event.hpp>

namespace buckthornvale::decision::gateway
{

//! How an attempt on a runner ended.
enum class attempt_outcome
{
    answered,    //!< a complete answer with a status
    not_sent,    //!< the runner has received nothing
    no_answer,   //!< the runner may have run it and has not answered
    interrupted, //!< the answer or stream ended prematurely
    refused      //!< the runner stated that it did not run the request
};

//! Stable name in logs.
char const* name_of(attempt_outcome outcome);

//! Decides how an attempt ended, for each framing of its answer. This is the
//! only place that takes an answer for complete. Once events were forwarded to
//! the caller (`stream_begun`), only a stream can go on with its answer.
attempt_outcome judge_attempt(attempt_ended const& in, bool stream_begun);

//! Stable name in logs.
char const* name_of(body_framing framing);

} // namespace buckthornvale::decision::gateway

#endif
