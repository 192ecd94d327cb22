#include <buckthornvale/decision/bookings/booking_table.hpp>
#include <buckthornvale/decision/fleet/rendezvous.hpp>

#include <algorithm>
#include <utility>

namespace buckthornvale::decision::bookings
{

namespace
{

// Makes the committer's seed differ from that of the nonces.
constexpr std::uint64_t committer_seed_mask = 0x9e3779b97f4a7c15;

} // namespace

booking_table::booking_table(booking_settings const& settings,
                             std::uint64_t seed)
    : settings_(settings), random_(seed),
      committer_(settings, seed ^ committer_seed_mask), cleaner_(settings)
{
}

std::optional<error> booking_table::validate_key(booking_key const& key,
                                                 wall_time wall) const
{
    if (key.key.empty())
        return error{error_kind::missing_idempotency_key, {}};
    if (wall - key.issued_at > settings_.horizon ||
        key.issued_at - wall > settings_.future_tolerance ||
        key.issued_at.time_since_epoch().count() < 0)
        return error{error_kind::key_expired, {}};
    return std::nullopt;
}

shard_update booking_table::make_update(update_kind kind,
                                        claim_request const& request,
                                        wall_time wall)
{
    shard_update update;
    update.kind = kind;
    update.id = id_of(request.key);
    auto const issued = request.key.issued_at.time_since_epoch();
    update.shard.window =
        static_cast<std::uint64_t>(issued.count() / settings_.window.count());
    update.shard.shard =
        static_cast<std::uint32_t>(update.id.low % settings_.shards);
    update.body = request.body;
    update.owner = settings_.self;
    update.incarnation = settings_.incarnation;
    update.nonce = random_();
    update.deadline = wall + std::chrono::duration_cast<wall_time::duration>(
                                 request.time_left);
    return update;
}

std::optional<vm_id> booking_table::peer_committer(shard_address address) const
{
    auto const owner = fleet::rendezvous_owner(path_of(address), live_ids_);
    if (!owner || *owner == settings_.self)
        return std::nullopt;
    return owner;
}

void booking_table::claim(claim_request const& request, time_point now,
                          wall_time wall, booking_effects& out)
{
    if (auto const invalid = validate_key(request.key, wall))
    {
        ++counters_.refused;
        out.push_back(claim_refused{request.request, *invalid});
        return;
    }
    auto const id = id_of(request.key);
    auto const tracked = records_.find(id);
    if (tracked != records_.end())
    {
        answer_from_record(tracked->second, request, true, out);
        return;
    }
    if (records_.size() >= settings_.max_records)
    {
        ++counters_.refused;
        out.push_back(
            claim_refused{request.request, {error_kind::overloaded, {}}});
        return;
    }
    auto& created = records_[id];
    created.request = request;
    created.update = make_update(update_kind::claim, request, wall);
    created.deadline = now + request.time_left;
    by_request_[request.request] = id;
    forward_or_commit(created, now, out);
    handle_answers(now, wall, out);
}

void booking_table::query(claim_request const& request, time_point now,
                          wall_time wall, booking_effects& out)
{
    if (auto const invalid = validate_key(request.key, wall))
    {
        out.push_back(claim_refused{request.request, *invalid});
        return;
    }
    auto const tracked = records_.find(id_of(request.key));
    if (tracked != records_.end())
    {
        answer_from_record(tracked->second, request, false, out);
        return;
    }
    if (queries_.size() >= settings_.max_records)
    {
        out.push_back(
            claim_refused{request.request, {error_kind::overloaded, {}}});
        return;
    }
    query_record created;
    created.request = request;
    created.update = make_update(update_kind::query, request, wall);
    created.sent_at = now;
    created.sent_to = peer_committer(created.update.shard);
    auto const update = created.update;
    auto const sent_to = created.sent_to;
    queries_.emplace(update.nonce, std::move(created));
    if (sent_to)
        out.push_back(forward_update{*sent_to, update});
    else
        submit(update, now + request.time_left, now, out);
    handle_answers(now, wall, out);
}

void booking_table::answer_from_record(record const& tracked,
                                       claim_request const& request,
                                       bool must_match, booking_effects& out)
{
    bool const other_time =
        tracked.request.key.issued_at != request.key.issued_at;
    if (must_match && (tracked.request.body != request.body || other_time))
    {
        ++counters_.refused;
        out.push_back(
            claim_refused{request.request, {error_kind::key_reused, {}}});
        return;
    }
    ++counters_.duplicates;
    claim_duplicate answer{request.request, claim_state::claimed, {}};
    if (tracked.current_stage == stage::completed)
    {
        answer.state = claim_state::completed;
        answer.result = tracked.result;
    }
    else if (tracked.current_stage == stage::dispatched)
    {
        answer.state = claim_state::dispatched;
    }
    else if (tracked.current_stage == stage::unknown)
    {
        answer.state = claim_state::unknown;
    }
    out.push_back(std::move(answer));
}

bool booking_table::is_owner_alive(claim_entry const& entry,
                                   wall_time wall) const
{
    if (entry.deadline <= wall)
        return false;
    return std::any_of(live_.begin(), live_.end(),
                       [&](live_vm const& it) {
                           return it.vm == entry.owner &&
                                  it.incarnation == entry.incarnation;
                       });
}

void booking_table::answer_existing(claim_request const& request,
                                    bool must_match,
                                    update_answer const& answer, time_point now,
                                    wall_time wall, booking_effects& out)
{
    auto const& entry = answer.entry;
    if (must_match && entry.body != request.body)
    {
        ++counters_.refused;
        out.push_back(
            claim_refused{request.request, {error_kind::key_reused, {}}});
        return;
    }
    ++counters_.duplicates;
    claim_duplicate duplicate{request.request, entry.state, entry.result};
    bool const finished = entry.state == claim_state::completed;
    if (!finished && !is_owner_alive(entry, wall))
        duplicate.state = claim_state::unknown;
    out.push_back(duplicate);
    if (duplicate.state != claim_state::unknown)
        return;
    ++counters_.unknown;
    if (!request.outcome_queryable)
        return;
    shard_update update;
    update.shard = answer.shard;
    update.id = answer.id;
    update.body = entry.body;
    update.owner = entry.owner;
    update.incarnation = settings_.incarnation;
    update.nonce = entry.nonce;
    update.deadline = entry.deadline;
    ask(request.key, request.request, update, now, out);
}

void booking_table::ask(booking_key const& key, request_id request,
                        shard_update const& update, time_point now,
                        booking_effects& out)
{
    auto const known = questions_.find(update.id);
    if (known != questions_.end() &&
        now - known->second.asked < settings_.ask_interval)
        return;
    if (known == questions_.end() &&
        questions_.size() >= settings_.max_questions)
        return;
    questions_[update.id] = {key, update, now};
    ++counters_.asked;
    out.push_back(query_service{request, update.id, key});
}

void booking_table::submit(shard_update const& update, time_point expires,
                           time_point now, booking_effects& out)
{
    committer_.submit(update, settings_.self, expires, now, out,
                      unhandled_answers_);
}

void booking_table::forward_or_commit(record& tracked, time_point now,
                                      booking_effects& out)
{
    tracked.sent_at = now;
    tracked.sent_to = peer_committer(tracked.update.shard);
    if (!tracked.sent_to)
    {
        commit_here(tracked, now, out);
        return;
    }
    tracked.peer_may_commit = true;
    ++counters_.forwarded;
    out.push_back(forward_update{*tracked.sent_to, tracked.update});
}

void booking_table::commit_here(record& tracked, time_point now,
                                booking_effects& out)
{
    tracked.sent_to.reset();
    tracked.sent_at = now;
    tracked.committing_locally = true;
    submit(tracked.update, tracked.deadline, now, out);
}

void booking_table::change_stage(record& tracked, stage next, update_kind kind,
                                 time_point now, booking_effects& out)
{
    tracked.current_stage = next;
    tracked.update.kind = kind;
    tracked.update.result = tracked.result;
    tracked.committing_locally = false;
    forward_or_commit(tracked, now, out);
}

void booking_table::handle_answers(time_point now, wall_time wall,
                                   booking_effects& out)
{
    while (!unhandled_answers_.empty())
    {
        std::vector<committed_update> taken;
        taken.swap(unhandled_answers_);
        for (auto& it : taken)
        {
            if (it.origin == settings_.self)
                settle(it.answer, std::nullopt, now, wall, out);
            else
                out.push_back(answer_peer{it.origin, std::move(it.answer)});
        }
    }
}

void booking_table::store_answer(bookings::store_answer const& answer,
                                 time_point now, wall_time wall,
                                 booking_effects& out)
{
    if (cleaner_.store_answer(answer, now, out))
        return;
    committer_.store_answer(answer, now, out, unhandled_answers_);
    handle_answers(now, wall, out);
}

void booking_table::handle_forwarded_update(vm_id from,
                                            shard_update const& update,
                                            time_point now, wall_time wall,
                                            booking_effects& out)
{
    auto const kept = settings_.horizon + settings_.deletion_margin;
    auto const oldest = (wall.time_since_epoch() - kept) / settings_.window;
    bool const old =
        oldest > 0 && update.shard.window < static_cast<std::uint64_t>(oldest);
    bool const other_shard =
        update.shard.shard != update.id.low % settings_.shards;
    bool const other_owner =
        update.kind == update_kind::claim && update.owner != from;
    if (old || other_shard || other_owner)
    {
        update_answer answer;
        answer.kind = update.kind;
        answer.shard = update.shard;
        answer.id = update.id;
        answer.incarnation = update.incarnation;
        answer.nonce = update.nonce;
        answer.verdict = update_verdict::refused;
        answer.reason =
            old ? error_kind::key_expired : error_kind::malformed_request;
        out.push_back(answer_peer{from, std::move(answer)});
        return;
    }
    committer_.submit(update, from, now + settings_.peer_claim_lifetime, now,
                      out, unhandled_answers_);
    handle_answers(now, wall, out);
}

void booking_table::handle_forwarded_answer(vm_id from,
                                            update_answer const& answer,
                                            time_point now, wall_time wall,
                                            booking_effects& out)
{
    settle(answer, from, now, wall, out);
    handle_answers(now, wall, out);
}

void booking_table::peer_unreachable(vm_id peer, time_point now, wall_time wall,
                                     booking_effects& out)
{
    for (auto& it : records_)
    {
        if (it.second.sent_to == peer)
            commit_here(it.second, now, out);
    }
    for (auto& it : queries_)
    {
        auto& tracked = it.second;
        if (tracked.sent_to != peer)
            continue;
        tracked.sent_to.reset();
        submit(tracked.update, now + tracked.request.time_left, now, out);
    }
    handle_answers(now, wall, out);
}

bool booking_table::dispatched(request_id request, time_point now,
                               booking_effects& out)
{
    auto* tracked = find_record(request);
    if (tracked == nullptr || tracked->current_stage != stage::granted)
        return false;
    tracked->current_stage = stage::dispatched;
    // This state changes no decision, so the update is only sent along with
    // others of a shard that this VM commits; it causes no write or message of
    // its own.
    if (peer_committer(tracked->update.shard))
        return true;
    auto update = tracked->update;
    update.kind = update_kind::dispatched;
    submit(update, tracked->deadline, now, out);
    return true;
}

void booking_table::completed(request_id request, std::string result,
                              time_point now, booking_effects& out)
{
    auto* tracked = find_record(request);
    if (tracked == nullptr || (tracked->current_stage != stage::dispatched &&
                               tracked->current_stage != stage::unknown))
        return;
    tracked->result = make_result(std::move(result));
    change_stage(*tracked, stage::completed, update_kind::completed, now, out);
}

void booking_table::outcome_lost(request_id request, time_point now,
                                 booking_effects& out)
{
    auto* tracked = find_record(request);
    if (tracked == nullptr || tracked->current_stage != stage::dispatched)
        return;
    ++counters_.unknown;
    change_stage(*tracked, stage::unknown, update_kind::unknown, now, out);
    if (tracked->request.outcome_queryable)
        ask(tracked->request.key, request, tracked->update, now, out);
}

void booking_table::not_run(request_id request, time_point now,
                            booking_effects& out)
{
    auto* tracked = find_record(request);
    if (tracked == nullptr || (tracked->current_stage != stage::granted &&
                               tracked->current_stage != stage::dispatched))
        return;
    change_stage(*tracked, stage::releasing, update_kind::release, now, out);
}

void booking_table::service_answer(claim_id id,
                                   std::optional<std::string> result,
                                   time_point now, booking_effects& out)
{
    auto const it = questions_.find(id);
    if (it == questions_.end())
        return;
    auto update = it->second.update;
    questions_.erase(it);
    if (!result)
        return;
    auto const tracked = records_.find(id);
    if (tracked != records_.end() &&
        tracked->second.current_stage == stage::unknown)
    {
        tracked->second.result = make_result(*std::move(result));
        change_stage(tracked->second, stage::completed, update_kind::completed,
                     now, out);
        return;
    }
    update.kind = update_kind::completed;
    update.result = make_result(*std::move(result));
    submit(update, now + settings_.peer_claim_lifetime, now, out);
}

void booking_table::tick(time_point now, wall_time wall, booking_effects& out)
{
    committer_.tick(now, out, unhandled_answers_);
    handle_answers(now, wall, out);
    tick_records(now, out);
    tick_queries(now, out);
    handle_answers(now, wall, out);
    cleaner_.tick(now, wall, live_ids_, out);
    for (auto it = questions_.begin(); it != questions_.end();)
    {
        auto const current = it++;
        if (now - current->second.asked > settings_.horizon)
            questions_.erase(current);
    }
}

void booking_table::tick_records(time_point now, booking_effects& out)
{
    std::vector<claim_id> expired;
    for (auto& it : records_)
    {
        auto& tracked = it.second;
        bool const claiming = tracked.current_stage == stage::claiming;
        if (claiming && now >= tracked.deadline)
        {
            expired.push_back(it.first);
            continue;
        }
        if (tracked.current_stage == stage::granted ||
            tracked.current_stage == stage::dispatched ||
            tracked.committing_locally)
            continue;
        auto const waited = now - tracked.sent_at;
        if (tracked.sent_to && waited >= settings_.forward_timeout)
        {
            ++counters_.forward_timeouts;
            commit_here(tracked, now, out);
        }
        else if (!tracked.sent_to && waited >= settings_.retry_interval)
        {
            commit_here(tracked, now, out);
        }
    }
    for (auto id : expired)
    {
        ++counters_.unsettled;
        out.push_back(claim_unsettled{records_[id].request.request});
        erase_record(id);
    }
}

void booking_table::tick_queries(time_point now, booking_effects& out)
{
    for (auto& it : queries_)
    {
        auto& tracked = it.second;
        if (!tracked.sent_to ||
            now - tracked.sent_at < settings_.forward_timeout)
            continue;
        tracked.sent_to.reset();
        submit(tracked.update, now + tracked.request.time_left, now, out);
    }
}

void booking_table::set_live_vms(absl::Span<live_vm const> vms)
{
    live_.assign(vms.begin(), vms.end());
    live_ids_.clear();
    for (auto const& it : live_)
        live_ids_.push_back(it.vm);
}

void booking_table::erase_record(claim_id id)
{
    auto const it = records_.find(id);
    by_request_.erase(it->second.request.request);
    records_.erase(it);
}

booking_table::record* booking_table::find_record(request_id request)
{
    auto const it = by_request_.find(request);
    return it == by_request_.end() ? nullptr
                                   : &records_.find(it->second)->second;
}

} // namespace buckthornvale::decision::bookings
