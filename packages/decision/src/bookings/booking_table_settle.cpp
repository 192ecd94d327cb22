// Handles the answers to updates on behalf of the waiting requests.

#include <buckthornvale/decision/bookings/booking_table.hpp>

#include <utility>

namespace buckthornvale::decision::bookings
{

namespace
{

// Number of earlier claims of this process that one claim releases before it
// gives up.
constexpr std::uint32_t max_orphans = 3;

} // namespace

void booking_table::settle(update_answer const& answer,
                           std::optional<vm_id> peer, time_point now,
                           wall_time wall, booking_effects& out)
{
    // Ignores a late answer to an earlier process of this VM, which may have
    // run the claim.
    if (answer.incarnation != settings_.incarnation ||
        answer.kind == update_kind::dispatched)
        return;
    if (answer.kind == update_kind::query)
    {
        auto const query = queries_.find(answer.nonce);
        if (query == queries_.end())
            return;
        if (peer && answer.verdict == update_verdict::unavailable)
        {
            // The peer could not reach the store; this VM may still reach it.
            query->second.sent_to.reset();
            submit(query->second.update, now + query->second.request.time_left,
                   now, out);
            return;
        }
        auto const tracked = std::move(query->second);
        queries_.erase(query);
        settle_query(tracked, answer, now, wall, out);
        return;
    }
    auto const it = records_.find(answer.id);
    if (it == records_.end() || it->second.update.nonce != answer.nonce)
    {
        // A claim that no request waits for any more and that was never
        // granted.
        bool const is_orphan = answer.kind == update_kind::claim &&
                               answer.verdict == update_verdict::applied;
        if (is_orphan)
            release_orphan(answer.id, answer.nonce, answer.shard, now, out);
        return;
    }
    auto& tracked = it->second;
    if (answer.kind != tracked.update.kind)
        return;
    if (!peer)
        tracked.committing_locally = false;
    if (tracked.current_stage == stage::claiming)
    {
        settle_claim(tracked, answer, peer, now, wall, out);
        return;
    }
    bool const written = answer.verdict == update_verdict::applied ||
                         answer.verdict == update_verdict::existing;
    bool const final_state = tracked.current_stage == stage::completed ||
                             tracked.current_stage == stage::unknown ||
                             tracked.current_stage == stage::releasing;
    if (written && final_state)
        erase_record(answer.id);
}

void booking_table::settle_claim(record& tracked, update_answer const& answer,
                                 std::optional<vm_id> peer, time_point now,
                                 wall_time wall, booking_effects& out)
{
    auto const request = tracked.request.request;
    switch (answer.verdict)
    {
    case update_verdict::applied:
        tracked.current_stage = stage::granted;
        ++counters_.granted;
        out.push_back(claim_granted{request});
        return;
    case update_verdict::existing:
        settle_existing(tracked, answer, now, wall, out);
        return;
    case update_verdict::refused:
        ++counters_.refused;
        out.push_back(claim_refused{request, {answer.reason, {}}});
        erase_record(answer.id);
        return;
    case update_verdict::unsettled:
        if (peer)
        {
            tracked.sent_to.reset();
            return;
        }
        ++counters_.unsettled;
        out.push_back(claim_unsettled{request});
        erase_record(answer.id);
        return;
    default:
        settle_unavailable(tracked, peer, now, out);
        return;
    }
}

void booking_table::settle_existing(record& tracked,
                                    update_answer const& answer, time_point now,
                                    wall_time wall, booking_effects& out)
{
    auto const& entry = answer.entry;
    bool const unfinished = entry.state == claim_state::claimed ||
                            entry.state == claim_state::dispatched;
    bool const own = entry.owner == settings_.self &&
                     entry.incarnation == settings_.incarnation;
    if (own && unfinished && tracked.released_orphans < max_orphans)
    {
        // Records are kept until the store has their last state, so a claim of
        // this process without a record was never dispatched.
        ++tracked.released_orphans;
        release_orphan(answer.id, entry.nonce, answer.shard, now, out);
        forward_or_commit(tracked, now, out);
        return;
    }
    auto const request = tracked.request;
    erase_record(answer.id);
    answer_existing(request, true, answer, now, wall, out);
}

void booking_table::settle_unavailable(record& tracked,
                                       std::optional<vm_id> peer,
                                       time_point now, booking_effects& out)
{
    if (peer)
    {
        tracked.peer_may_commit = false;
        // The peer could not reach the store; this VM may still reach it.
        if (!tracked.committing_locally)
            commit_here(tracked, now, out);
        return;
    }
    // A peer that has not answered may still write the claim.
    if (tracked.peer_may_commit)
        return;
    ++counters_.unavailable;
    out.push_back(
        claim_unavailable{tracked.request.request,
                          committer_.retry_after(tracked.update.shard, now)});
    erase_record(tracked.update.id);
}

void booking_table::settle_query(query_record const& tracked,
                                 update_answer const& answer, time_point now,
                                 wall_time wall, booking_effects& out)
{
    auto const request = tracked.request.request;
    if (answer.verdict == update_verdict::existing)
        answer_existing(tracked.request, false, answer, now, wall, out);
    else if (answer.verdict == update_verdict::absent)
        out.push_back(claim_absent{request});
    else if (answer.verdict == update_verdict::refused)
        out.push_back(claim_refused{request, {answer.reason, {}}});
    else
        out.push_back(claim_unavailable{
            request, committer_.retry_after(tracked.update.shard, now)});
}

void booking_table::release_orphan(claim_id id, std::uint64_t nonce,
                                   shard_address shard, time_point now,
                                   booking_effects& out)
{
    shard_update update;
    update.kind = update_kind::release;
    update.shard = shard;
    update.id = id;
    update.owner = settings_.self;
    update.incarnation = settings_.incarnation;
    update.nonce = nonce;
    auto const peer = peer_committer(shard);
    if (peer)
        out.push_back(forward_update{*peer, update});
    else
        submit(update, now + settings_.peer_claim_lifetime, now, out);
}

} // namespace buckthornvale::decision::bookings
