#ifndef BUCKTHORNVALE_DECISION_REQUESTS_COUNT_MESSAGES_HPP
#define BUCKTHORNVALE_DECISION_REQUESTS_COUNT_MESSAGES_HPP

#include <buckthornvale/decision/core/rank.hpp>
#include <buckthornvale/decision/core/time.hpp>
#include <buckthornvale/decision/requests/caller_messages.hpp>

#include <string>
#include <string_view>

namespace buckthornvale::decision::requests
{

//! Effect: one request was answered.
struct request_counted
{
    std::string pipeline;
    std::string organisation;
    rank work_rank = rank::standard;
    outcome result = outcome::not_run;
    error_kind reason = error_kind::none;
    bool in_target = false; //!< completed within the rank's target
    duration took{};
};

//! Effect: one attempt ended; wasted when its output was not used.
struct stage_counted
{
    std::string pipeline;
    std::string stage;
    rank work_rank = rank::standard;
    duration took{};
    bool wasted = false;
};

//! Events that are counted without labels.
enum class counter
{
    attempt_started,
    attempt_retried,
    attempt_hedged,
    answer_late,
    answer_crossed,
    stream_resumed,
    stream_broken,
    booking_unknown,
    booking_duplicate,
    runner_crash_seen,
    content_isolated,
    retry_refused_by_budget,
    settings_applied,
    settings_rejected,
    peer_message_dropped,
    store_call,
    order_sent,
    count_of_counters
};

//! Name of the metric without prefix and suffix.
std::string_view name_of(counter value);

//! Effect: add to a counter.
struct event_counted
{
    counter which = counter::attempt_started;
    double amount = 1.;
};

//! Effect: a change of state that is worth a log line.
struct state_logged
{
    enum class level
    {
        info,
        warning,
        error
    };
    level severity = level::info;
    std::string text;
};

} // namespace buckthornvale::decision::requests

#endif
