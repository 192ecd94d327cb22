#ifndef BUCKTHORNVALE_DECISION_REQUESTS_COUNT_MESSAGES_HPP
#define BUCKTHORNVALE_DECISION_REQUESTS_COUNT_MESSAGES_HPP

#include <buckthornvale/decision/core/rank.hpp>
#include <buckthornvale/decision/core/time.hpp>
#include <buckthornvale/decision/requests/caller_messages.hpp>

#include <string>
#include <string_view>

namespace buckthornvale::decision::requests
{

//! Effect: count an answered request.
struct request_counted
{
    std::string pipeline;
    std::string organisation;
    rank work_rank = rank::standard;
    outcome result = outcome::not_run;
    error_kind reason = error_kind::none;
    bool in_target = false; //!< completed within the rank's latency target
    duration took{};
};

//! Effect: count an attempt that ended. It was wasted when its output was not
//! used.
struct stage_counted
{
    std::string pipeline;
    std::string stage;
    rank work_rank = rank::standard;
    duration took{};
    bool wasted = false;
};

//! Counters without labels.
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

//! Name of the counter's metric without prefix and suffix.
std::string_view name_of(counter value);

//! Effect: increase a counter.
struct event_counted
{
    counter which = counter::attempt_started;
    double amount = 1.;
};

//! Effect: log a change of state.
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
