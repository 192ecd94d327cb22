// What the answers to updates mean for the requests that wait for them.

#include <buckthornvale/decision/bookings/booking_table.hpp>

#include <utility>

namespace buckthornvale::decision::bookings
{

namespace
{

// Old claims of this process that one claim removes before it gives up.
constexpr std::uint32_t max_orphans = 3;

} // namespace

void booking_table::settle(update_answer const& answer,
                           std::optional<vm_id> peer, time_point now,
                           wall_time wall, booking_effects& out)
{
    // A late answer to an earlier process of this VM, which may have run it.
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
            // The peer could not reach the store; this VM may.
            query->second.sent_to.reset();
            submit(query->second.update, now + query->second.request.time_left,
                   now, out);
            return;
        }
        auto const held = std::move(query->second);
        queries_.erase(query);
        settle_query(held, answer, now, wall, out);
        return;
    }
    auto const it = records_.find(answer.id);
    if (it == records_.end() || it->second.update.nonce != answer.nonce)
    {
        // A claim that nobody waits for any more and that was never granted.
        bool const stray = answer.kind == update_kind::claim &&
                           answer.verdict == update_verdict::applied;
        if (stray)
            release_orphan(answer.id, answer.nonce, answer.shard, now, out);
        return;
    }
    auto& held = it->second;
    if (answer.kind != held.update.kind)
        return;
    if (!peer)
        held.in_committer = false;
    if (held.current == stage::claiming)
    {
        settle_claim(held, answer, peer, now, wall, out);
        return;
    }
    bool const written = answer.verdict == update_verdict::applied ||
                         answer.verdict == update_verdict::existing;
    bool const final_state = held.current == stage::completed ||
                             held.current == stage::unknown ||
                             held.current == stage::releasing;
    if (written && final_state)
        forget(answer.id);
}

void booking_table::settle_claim(record& held, update_answer const& answer,
                                 std::optional<vm_id> peer, time_point now,
                                 wall_time wall, booking_effects& out)
{
    auto const request = held.request.request;
    switch (answer.verdict)
    {
    case update_verdict::applied:
        held.current = stage::granted;
        ++counters_.granted;
        out.push_back(claim_granted{request});
        return;
    case update_verdict::existing:
        settle_existing(held, answer, now, wall, out);
        return;
    case update_verdict::refused:
        ++counters_.refused;
        out.push_back(claim_refused{request, {answer.reason, {}}});
        forget(answer.id);
        return;
    case update_verdict::unsettled:
        if (peer)
        {
            held.sent_to.reset();
            return;
        }
        ++counters_.unsettled;
        out.push_back(claim_unsettled{request});
        forget(answer.id);
        return;
    default:
        settle_unavailable(held, peer, now, out);
        return;
    }
}

void booking_table::settle_existing(record& held, update_answer const& answer,
                                    time_point now, wall_time wall,
                                    booking_effects& out)
{
    auto const& entry = answer.entry;
    bool const unfinished = entry.state == claim_state::claimed ||
                            entry.state == claim_state::dispatched;
    bool const own = entry.owner == settings_.self &&
                     entry.incarnation == settings_.incarnation;
    if (own && unfinished && held.orphans < max_orphans)
    {
        // Records stay until the store has their last state, so a claim of
        // this process without a record was never dispatched.
        ++held.orphans;
        release_orphan(answer.id, entry.nonce, answer.shard, now, out);
        send(held, now, out);
        return;
    }
    auto const request = held.request;
    forget(answer.id);
    answer_existing(request, true, answer, now, wall, out);
}

void booking_table::settle_unavailable(record& held, std::optional<vm_id> peer,
                                       time_point now, booking_effects& out)
{
    if (peer)
    {
        held.outside = false;
        // The peer could not reach the store; this VM may.
        if (!held.in_committer)
            commit_here(held, now, out);
        return;
    }
    // A peer that did not answer may still write the claim.
    if (held.outside)
        return;
    ++counters_.unavailable;
    out.push_back(claim_unavailable{
        held.request.request, committer_.retry_after(held.update.shard, now)});
    forget(held.update.id);
}

void booking_table::settle_query(query_record const& held,
                                 update_answer const& answer, time_point now,
                                 wall_time wall, booking_effects& out)
{
    auto const request = held.request.request;
    if (answer.verdict == update_verdict::existing)
        answer_existing(held.request, false, answer, now, wall, out);
    else if (answer.verdict == update_verdict::absent)
        out.push_back(claim_absent{request});
    else if (answer.verdict == update_verdict::refused)
        out.push_back(claim_refused{request, {answer.reason, {}}});
    else
        out.push_back(claim_unavailable{
            request, committer_.retry_after(held.update.shard, now)});
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
        out.push_back(forward_claim{*peer, update});
    else
        submit(update, now + settings_.peer_claim_lifetime, now, out);
}

} // namespace buckthornvale::decision::bookings
