#include "active_request.hpp"
#include <buckthornvale/decision/gateway/reducer.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace buckthornvale::decision::gateway
{

namespace
{

using namespace std::chrono_literals;

//! Time in which the other VMs answer an accusation.
constexpr duration hearing_time = 400ms;

//! Interval in which a VM tells one other VM, in turn, of blocked suspects and
//! of content with repeated crashes. VMs that were cut off or frozen learn of
//! them in this way.
constexpr duration crash_state_interval = 500ms;

//! Content whose last crash is older is told only to VMs that join or start
//! anew, and in each of these turns.
constexpr duration recent_crash_age = 2min;
constexpr std::size_t full_state_turns = 32;

//! Crash records that cannot be read do not hold up a start for longer.
constexpr duration max_crash_records_wait = 2s;

//! An unreachable runner is reported once per interval.
constexpr duration unreachable_report_interval = 1s;

} // namespace

std::string const& reducer::judge_of(std::string const& service,
                                     time_point now) const
{
    return members_.owner("crashes of " + service, now);
}

void reducer::log_suspect(char const* what, active_request const* request,
                          crash_suspect const& suspect)
{
    log(what, request,
        {{"suspect", name_of(suspect.kind)},
         {"value", absl::StrCat(absl::Hex(suspect.value))}});
}

bool reducer::is_blocked(active_request const& request)
{
    if (crashes_.crashes_of(request.fingerprint) > request.tolerated_crashes)
        return true;
    auto const suspect = suspects_.find_blocked(request.suspects);
    if (suspect)
        log_suspect("request_blocked", &request, *suspect);
    return suspect.has_value();
}

void reducer::allow_retrial(active_request& request, time_point now)
{
    auto const content = request.fingerprint;
    if (!crashes_.is_blocked(content))
        return;
    auto const& decider =
        members_.owner(absl::StrCat("content ", content), now);
    if (decider != members_.self() || !crashes_.begin_retrial(content, now))
        return;
    request.tolerated_crashes = crashes_.crashes_of(content);
    log("content_retried", &request,
        {{"crashes", std::to_string(request.tolerated_crashes)}});
}

void reducer::record_crash_evidence(active_request const& request,
                                    attempt_ended const& in,
                                    attempt_outcome outcome, time_point now)
{
    bool const lost = in.reset && (outcome == attempt_outcome::no_answer ||
                                   outcome == attempt_outcome::interrupted);
    if (outcome == attempt_outcome::answered)
        record_answered(request.suspects, now);
    else if (outcome == attempt_outcome::not_sent)
        report_unreachable(request.service, request.runner_id, now);
    else if (lost)
        report_loss(request, in, now);
}

void reducer::report_loss(active_request const& request,
                          attempt_ended const& in, time_point now)
{
    update_crash_record(request, false, now);
    report_lost_run message;
    message.service = request.service;
    message.runner_id = request.runner_id;
    message.answer_begun = in.transport == transport_end::broken_off;
    if (!in.has_events)
        message.suspects = request.suspects;
    send_message(judge_of(request.service, now), std::move(message), now);
}

void reducer::report_unreachable(std::string const& service,
                                 std::string const& runner, time_point now)
{
    auto* state = runners_.find(runner);
    if (state == nullptr ||
        now - state->unreachable_reported_at < unreachable_report_interval)
        return;
    state->unreachable_reported_at = now;
    send_message(judge_of(service, now),
                 report_unreachable_runner{service, runner}, now);
}

void reducer::record_answered(absl::Span<crash_suspect const> suspects,
                              time_point now)
{
    judge_.record_answered(suspects, now);
    auto const cleared = suspects_.record_answered(suspects, now);
    if (cleared.empty())
        return;
    for (auto const& it : cleared)
        log_suspect("suspect_cleared", nullptr, it);
    for (auto const& name : members_.others())
        send_message(name, report_answered{cleared}, now);
}

void reducer::handle_message(std::string const&, report_lost_run const& in,
                             time_point now)
{
    judge_.record_lost_run({in.runner_id, in.answer_begun, in.suspects}, now);
    judge_crashes(now);
}

void reducer::handle_message(std::string const&,
                             report_unreachable_runner const& in,
                             time_point now)
{
    judge_.record_unreachable(in.runner_id, now);
    judge_crashes(now);
}

void reducer::handle_message(std::string const&, report_answered const& in,
                             time_point now)
{
    judge_.record_answered(in.suspects, now);
    for (auto const& it : suspects_.record_answered(in.suspects, now))
        log_suspect("suspect_cleared", nullptr, it);
}

void reducer::handle_message(std::string const& from, accuse_suspects const& in,
                             time_point now)
{
    report_answered reply;
    for (auto const& it : in.verdicts)
        if (suspects_.accuse(it, now))
            reply.suspects.push_back(it.suspect);
    if (!reply.suspects.empty())
        send_message(from, std::move(reply), now);
}

void reducer::handle_message(std::string const& from, block_suspects const& in,
                             time_point now)
{
    report_answered reply;
    for (auto const& it : in.verdicts)
    {
        bool const known = suspects_.is_blocked(it.suspect);
        if (suspects_.block(it, now))
            reply.suspects.push_back(it.suspect);
        else if (!known)
            log_suspect("suspect_blocked", nullptr, it.suspect);
    }
    if (!reply.suspects.empty())
        send_message(from, std::move(reply), now);
}

void reducer::judge_crashes(time_point now)
{
    auto const others = members_.others();
    accuse_suspects accusation{judge_.take_accused(suspects_.blocked(), now)};
    if (!accusation.verdicts.empty())
    {
        for (auto const& it : accusation.verdicts)
            log_suspect("suspect_accused", nullptr, it.suspect);
        handle_message(members_.self(), accusation, now);
        for (auto const& name : others)
            send_message(name, accusation, now);
    }
    block_suspects verdict{judge_.take_blamed(
        suspects_.blocked(), others.empty() ? 0ms : hearing_time, now)};
    if (verdict.verdicts.empty())
        return;
    handle_message(members_.self(), verdict, now);
    for (auto const& name : others)
        send_message(name, verdict, now);
}

void reducer::handle_message(std::string const& from,
                             share_crash_records const& in, time_point now)
{
    for (auto const& it : in.records)
        if (!crashes_.merge(it, now))
            send_message(from, report_crash{it.fingerprint, true}, now);
}

void reducer::repeat_crash_state(time_point now)
{
    if (now - crash_state_repeated_at_ < crash_state_interval)
        return;
    crash_state_repeated_at_ = now;
    auto const others = members_.others();
    if (others.empty())
        return;
    // Each VM begins with the next one in the order of names, so that VMs that
    // started together do not all tell the same one at once.
    auto const next =
        std::upper_bound(others.begin(), others.end(), members_.self());
    auto const first = static_cast<std::size_t>(next - others.begin());
    auto const turn = crash_state_repeats_++;
    send_crash_state(
        others[(first + turn) % others.size()],
        turn % full_state_turns == 0 ? duration::max() : recent_crash_age, now);
}

void reducer::send_crash_state(std::string const& member, duration max_age,
                               time_point now)
{
    block_suspects verdicts{suspects_.verdicts(now)};
    if (!verdicts.verdicts.empty())
        send_message(member, std::move(verdicts), now);
    share_crash_records records{crashes_.repeated_crashes(max_age, now)};
    if (!records.records.empty())
        send_message(member, std::move(records), now);
}

void reducer::on(crash_records_read const& in, time_point now)
{
    crashes_.restore(in.own, true, now);
    crashes_.restore(in.others, false, now);
    if (in.listed)
    {
        crash_records_stored_ = in.own;
        crash_records_known_ = true;
    }
    log("crash_records_read", nullptr,
        {{"own", std::to_string(in.own.size())},
         {"others", std::to_string(in.others.size())},
         {"listed", in.listed ? "true" : "false"}});
}

void reducer::check_crash_records(time_point now)
{
    if (crash_records_known_)
        return;
    if (!crash_records_due_)
        crash_records_due_ = now + max_crash_records_wait;
    if (now < *crash_records_due_)
        return;
    crash_records_known_ = true;
    log("crash_records_unread", nullptr, {});
}

void reducer::store_changed_crash_records()
{
    if (!crashes_.take_change())
        return;
    auto records = crashes_.to_store();
    if (records == crash_records_stored_)
        return;
    crash_records_stored_ = records;
    out_.push_back(store_crash_records{std::move(records)});
}

} // namespace buckthornvale::decision::gateway
