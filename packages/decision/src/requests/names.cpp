#include <buckthornvale/decision/requests/caller_messages.hpp>
#include <buckthornvale/decision/requests/count_messages.hpp>

#include <array>

namespace buckthornvale::decision::requests
{

namespace
{

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(counter::count_of_counters)>
    counter_names = {
        "attempts_started",    "attempts_retried",  "attempts_hedged",
        "answers_late",        "answers_crossed",   "streams_resumed",
        "streams_broken",      "bookings_unknown",  "bookings_duplicate",
        "runner_crashes_seen", "contents_isolated", "retries_refused_by_budget",
        "settings_applied",    "settings_rejected", "peer_messages_dropped",
        "store_calls",         "orders_sent"};

} // namespace

std::string_view name_of(outcome value)
{
    switch (value)
    {
    case outcome::completed:
        return "completed";
    case outcome::not_run:
        return "not_run";
    case outcome::unknown:
        break;
    }
    return "unknown";
}

std::string_view name_of(counter value)
{
    return counter_names[static_cast<std::size_t>(value)];
}

} // namespace buckthornvale::decision::requests
