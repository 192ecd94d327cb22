#include "active_request.hpp"
#include <buckthornvale/decision/gateway/reducer.hpp>

#include <algorithm>

namespace buckthornvale::decision::gateway
{

void reducer::send_message(std::string const& name, peer_message message,
                           time_point now)
{
    if (name == members_.self())
    {
        std::visit([&](auto const& it) { handle_message(name, it, now); },
                   message);
        return;
    }
    auto const* to = members_.find(name);
    if (to != nullptr)
        out_.push_back(send_to_peer{name, to->address, std::move(message)});
}

void reducer::handle_message(std::string const& from, submit_pieces const& in,
                             time_point now)
{
    if (now < pieces_stale_until_ && from != members_.self())
        return;
    std::map<std::string, std::vector<piece>> by_service;
    for (auto const& it : in.pieces)
        by_service[it.service].push_back(it);
    for (auto& it : by_service)
        scheduler(it.first).submit(from, std::move(it.second), now);
    dispatch_needed_ = dispatch_needed_ || !in.pieces.empty();
}

void reducer::handle_message(std::string const& from, announce_stages const& in,
                             time_point now)
{
    for (auto const& it : in.stages)
        scheduler(it.service).announce(from, it, now);
}

void reducer::handle_message(std::string const&, return_results const& in,
                             time_point now)
{
    for (auto const& it : in.backlogs)
        backlogs_[it.service] = {it, now};
    for (auto const& it : in.results)
        handle_piece_result(it, now);
}

void reducer::handle_message(std::string const&, release_results const& in,
                             time_point)
{
    scheduler(in.service).release(in.handles);
    dispatch_needed_ = true;
}

void reducer::handle_message(std::string const& from, cancel_pieces const& in,
                             time_point)
{
    for (auto& it : schedulers_)
        it.second.withdraw(from, in.requests);
}

void reducer::handle_message(std::string const&, report_crash const& in,
                             time_point now)
{
    if (in.cleared)
        crashes_.clear(in.fingerprint, now);
    else
        crashes_.record_crash(in.fingerprint, now);
}

void reducer::update_crash_record(active_request const& request, bool cleared,
                                  time_point now)
{
    report_crash const message{request.fingerprint, cleared};
    if (cleared && !crashes_.clear(request.fingerprint, now))
        return;
    if (!cleared)
    {
        crashes_.record_own_crash(request.fingerprint, now);
        log("runner_broke_off", &request, {{"runner", request.runner_id}});
    }
    for (auto const& name : members_.others())
        send_message(name, message, now);
}

void reducer::on(peer_sent const& in, time_point now)
{
    for (auto const& message : in.messages)
        std::visit([&](auto const& it) { handle_message(in.member, it, now); },
                   message);
}

void reducer::on(peer_unreachable const& in, time_point now)
{
    log("peer_unreachable", nullptr,
        {{"member", in.member},
         {"undelivered", std::to_string(in.undelivered.size())}});
    members_.suspect(in.member, now);
    for (auto const& message : in.undelivered)
    {
        // Undelivered results are dropped: a VM that still waits for them
        // submits the pieces again. Releases and lost runs go to the new
        // owner.
        if (auto const* freed = std::get_if<release_results>(&message))
            send_message(members_.owner(freed->service, now), *freed, now);
        else if (auto const* lost = std::get_if<report_lost_run>(&message))
            send_message(judge_of(lost->service, now), *lost, now);
    }
    resubmit_from(in.member, now);
}

void reducer::remove_unreachable_members(time_point now)
{
    constexpr duration interval = std::chrono::seconds(5);
    if (now - members_checked_at_ < interval)
        return;
    members_checked_at_ = now;
    for (auto const& name : members_.members_to_remove(now))
    {
        log("member_gone", nullptr, {{"member", name}});
        out_.push_back(remove_member{name});
    }
}

void reducer::on(peer_answered const& in, time_point now)
{
    if (!members_.record_answer(in.member, in.incarnation, now))
        return;
    log("peer_restarted", nullptr, {{"member", in.member}});
    send_crash_state(in.member, duration::max(), now);
    for (auto& it : schedulers_)
        it.second.withdraw_all(in.member);
    resubmit_from(in.member, now);
}

} // namespace buckthornvale::decision::gateway
