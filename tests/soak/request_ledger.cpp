#include "request_ledger.hpp"

namespace buckthornvale::soak
{

namespace
{

using namespace std::chrono_literals;

//! A request that is lost this soon after it was sent crossed the close of its
//! connection.
constexpr duration crossing_time = 200ms;

//! The system gives a stream up at the deadline of its caller.
constexpr duration deadline_tolerance = 100ms;

//! A runner that is left has to stop within this time.
constexpr duration max_overlap = 400ms;

bool states_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

void request_ledger::sent(std::string const& id, request_rules rules,
                          time_point now)
{
    auto& it = entries_[id];
    it.sent_at = now;
    it.rules = rules;
}

void request_ledger::sent_whole(std::string const& id, time_point now)
{
    entries_[id].sent_at = now;
}

void request_ledger::run_started(std::string const& id,
                                 std::string const& runner, time_point now)
{
    auto& it = entries_[id];
    it.reached_runner = true;
    ++it.executions;
    for (auto& run : it.runs)
        if (!run.second)
            run.second = now;
    it.runs[runner].reset();
}

void request_ledger::run_ended(std::string const& id, std::string const& runner,
                               time_point now)
{
    auto& it = entries_[id];
    auto& runs = it.runs;
    auto const found = runs.find(runner);
    if (found == runs.end())
        return;
    if (it.rules.is_stream && found->second &&
        now - *found->second > max_overlap)
        add_violation(id + " ran elsewhere while " + runner +
                      " went on with it for " +
                      std::to_string((now - *found->second) /
                                     std::chrono::milliseconds(1)) +
                      " ms");
    runs.erase(found);
}

void request_ledger::refused_by_runner(std::string const& id)
{
    entries_[id].reached_runner = true;
}

void request_ledger::answered(std::string const& id,
                              std::string const& answer_id, int status,
                              std::string const& body,
                              std::string const& expected_body)
{
    ++answers_by_status_[status];
    if (answer_id != id)
        add_violation(id + " got the answer to " + answer_id);
    if (status == 200 && body != expected_body)
        add_violation(id + " got another body: " + body);
    if (status >= 400 && status < 500)
        add_violation(id + " was denied with " + std::to_string(status));
    entries_[id].promised_not_run = states_not_run(status);
}

void request_ledger::connection_ended(std::string const& id, bool excused,
                                      time_point now)
{
    auto& it = entries_[id];
    it.lost_after = now - it.sent_at;
    if (excused || it.lost_after >= caller_deadline - deadline_tolerance)
        ++excused_;
    else
        it.lost = true;
}

void request_ledger::not_answered_in_time(std::string const& id)
{
    add_violation(id + " got no answer until long after its deadline");
}

void request_ledger::add_violation(std::string text)
{
    violations_.push_back(std::move(text));
}

std::vector<std::string> request_ledger::finish()
{
    for (auto const& named : entries_)
    {
        auto const& it = named.second;
        if (it.promised_not_run && it.executions > 0)
            add_violation(named.first + " ran, though its answer denies it");
        if (it.rules.at_most_once && it.executions > 1)
            add_violation(named.first + " ran more than once");
        if (!it.lost)
            continue;
        if (it.reached_runner || it.lost_after > crossing_time)
            add_violation(
                named.first + " was lost after " +
                std::to_string(it.lost_after / std::chrono::milliseconds(1)) +
                (it.reached_runner ? " ms, at a runner" : " ms, unsent"));
        else
            ++crossed_;
    }
    return violations_;
}

std::string request_ledger::summary() const
{
    auto out = std::to_string(entries_.size()) + " requests;";
    for (auto const& it : answers_by_status_)
        out += " " + std::to_string(it.first) + ": " +
               std::to_string(it.second) + ",";
    return out + " lost with a killed VM or at the deadline: " +
           std::to_string(excused_) +
           ", crossed a close: " + std::to_string(crossed_);
}

} // namespace buckthornvale::soak
