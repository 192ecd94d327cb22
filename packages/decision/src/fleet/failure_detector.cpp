#include <buckthornvale/decision/fleet/failure_detector.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>

namespace buckthornvale::decision::fleet
{

namespace
{

// Consecutive refused connections after which a peer is declared dead. A single
// one may come from a process that is restarting.
constexpr std::uint32_t refusals_until_dead = 2;

// Memory limits; probes time out long before these are reached.
constexpr std::size_t max_probes = 64;
constexpr std::size_t max_indirect_probes = 256;

} // namespace

std::string_view name_of(peer_state_reason reason)
{
    constexpr std::array<std::string_view, 7> names = {
        "responded",          "no_ack",
        "open_but_silent",    "connection_reset",
        "connection_refused", "silent_too_long",
        "said_goodbye"};
    return names[static_cast<std::size_t>(reason)];
}

failure_detector::failure_detector(vm_id self,
                                   detector_settings const& settings,
                                   std::uint64_t seed)
    : self_(self), settings_(settings), random_(seed)
{
}

void failure_detector::set_peers(absl::Span<vm_id const> peers, time_point now)
{
    absl::flat_hash_map<vm_id, peer_record> kept;
    for (auto it : peers)
    {
        if (it == self_)
            continue;
        auto const record = peers_.find(it);
        if (record != peers_.end())
        {
            kept.emplace(it, record->second);
            continue;
        }
        peer_record created;
        created.last_heard = now;
        created.link_changed = now;
        kept.emplace(it, created);
    }
    peers_ = std::move(kept);
    probe_order_.clear();
    for (auto const& it : peers_)
        probe_order_.push_back(it.first);
    std::sort(probe_order_.begin(), probe_order_.end());
    std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
    next_probe_index_ = 0;
}

duration failure_detector::scale_by_health(duration value) const
{
    return value * (health_score_ + 1);
}

duration failure_detector::suspicion_time() const
{
    auto const size = static_cast<double>(peers_.size() + 1);
    auto const factor =
        settings_.suspicion_periods * std::max(1., std::log10(size));
    return scale_by_health(from_seconds(to_seconds(settings_.period) * factor));
}

void failure_detector::raise_health_score()
{
    health_score_ = std::min(health_score_ + 1, settings_.max_health_score);
}

void failure_detector::set_state(vm_id peer, peer_record& record,
                                 member_state state, peer_state_reason reason,
                                 detector_effects& out)
{
    if (record.state == state && record.reason == reason)
        return;
    record.state = state;
    record.reason = reason;
    out.push_back(peer_state_change{peer, state, reason});
}

void failure_detector::mark_responsive(vm_id peer, time_point now,
                                       detector_effects& out)
{
    auto const it = peers_.find(peer);
    if (it == peers_.end())
        return;
    auto& record = it->second;
    record.last_heard = now;
    record.refusals = 0;
    if (record.state != member_state::leaving)
        set_state(peer, record, member_state::live,
                  peer_state_reason::responded, out);
}

void failure_detector::on_link_event(vm_id peer, link_event event,
                                     time_point now, detector_effects& out)
{
    auto const it = peers_.find(peer);
    if (it == peers_.end())
        return;
    auto& record = it->second;
    switch (event)
    {
    case link_event::connected:
        record.link = link_state::open;
        record.link_changed = now;
        // A process that connects again is not the one that announced its
        // shutdown.
        if (record.state == member_state::leaving)
            record.state = member_state::suspect;
        mark_responsive(peer, now, out);
        return;
    case link_event::message:
        mark_responsive(peer, now, out);
        return;
    case link_event::refused:
        record.link = link_state::refused;
        record.link_changed = now;
        ++record.refusals;
        break;
    case link_event::reset:
        record.link = link_state::reset;
        record.link_changed = now;
        break;
    case link_event::timed_out:
        record.link = link_state::none;
        record.link_changed = now;
        break;
    case link_event::goodbye:
        set_state(peer, record, member_state::leaving,
                  peer_state_reason::said_goodbye, out);
        return;
    }
    evaluate(peer, record, now, out);
}

void failure_detector::evaluate(vm_id peer, peer_record& record, time_point now,
                                detector_effects& out)
{
    if (record.state == member_state::leaving)
        return;
    if (record.link == link_state::refused &&
        record.refusals >= refusals_until_dead)
    {
        set_state(peer, record, member_state::dead,
                  peer_state_reason::connection_refused, out);
        return;
    }
    if (record.state == member_state::live)
    {
        if (record.link == link_state::open || record.link == link_state::none)
            return;
        record.suspected = now;
        set_state(peer, record, member_state::suspect,
                  peer_state_reason::connection_reset, out);
        return;
    }
    auto const silence = now - record.last_heard;
    if (record.state == member_state::paused)
    {
        if (record.link == link_state::reset)
            set_state(peer, record, member_state::dead,
                      peer_state_reason::connection_reset, out);
        else if (silence >= settings_.pause_limit)
            set_state(peer, record, member_state::dead,
                      peer_state_reason::silent_too_long, out);
        return;
    }
    if (record.state != member_state::suspect ||
        now - record.suspected < suspicion_time())
        return;
    switch (record.link)
    {
    case link_state::open:
        set_state(peer, record, member_state::paused,
                  peer_state_reason::open_but_silent, out);
        return;
    case link_state::reset:
    case link_state::refused:
        set_state(peer, record, member_state::dead,
                  peer_state_reason::connection_reset, out);
        return;
    default:
        set_state(peer, record, member_state::dead,
                  peer_state_reason::silent_too_long, out);
    }
}

void failure_detector::on_ping(vm_id from, vm_id target, std::uint64_t sequence,
                               time_point now, detector_effects& out)
{
    mark_responsive(from, now, out);
    if (target == self_)
    {
        out.push_back(send_ack{from, self_, sequence});
        return;
    }
    if (!peers_.contains(target) ||
        indirect_probes_.size() >= max_indirect_probes)
        return;
    indirect_probes_[++sequence_] = {from, sequence, target, now};
    out.push_back(send_ping{target, target, sequence_});
}

void failure_detector::on_ack(vm_id from, vm_id target, std::uint64_t sequence,
                              time_point now, detector_effects& out)
{
    mark_responsive(from, now, out);
    auto const it = indirect_probes_.find(sequence);
    if (it != indirect_probes_.end() && it->second.target == from)
    {
        out.push_back(send_ack{it->second.requester, from,
                               it->second.requester_sequence});
        indirect_probes_.erase(it);
        return;
    }
    auto const answered = std::find_if(
        probes_.begin(), probes_.end(),
        [&](probe const& candidate) {
            return candidate.sequence == sequence && candidate.target == target;
        });
    if (answered == probes_.end())
        return;
    probes_.erase(answered);
    health_score_ -= health_score_ > 0 ? 1 : 0;
    // An indirect probe was acknowledged: only the direct link is broken.
    if (from != target)
        mark_responsive(target, now, out);
}

void failure_detector::start_probe(time_point now, detector_effects& out)
{
    if (probe_order_.empty() || probes_.size() >= max_probes)
        return;
    if (next_probe_index_ >= probe_order_.size())
    {
        std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
        next_probe_index_ = 0;
    }
    auto const target = probe_order_[next_probe_index_++];
    if (peers_[target].state == member_state::dead)
        return;
    probes_.push_back({target, ++sequence_, now, false});
    out.push_back(send_ping{target, target, sequence_});
}

void failure_detector::send_indirect_probes(vm_id target,
                                            std::uint64_t sequence,
                                            detector_effects& out)
{
    std::vector<vm_id> candidates;
    for (auto const& it : peers_)
    {
        bool const usable = it.second.state == member_state::live &&
                            it.second.link == link_state::open;
        if (it.first != target && usable)
            candidates.push_back(it.first);
    }
    std::sort(candidates.begin(), candidates.end());
    std::shuffle(candidates.begin(), candidates.end(), random_);
    candidates.resize(std::min<std::size_t>(candidates.size(),
                                            settings_.indirect_probe_peers));
    for (auto it : candidates)
        out.push_back(send_ping{it, target, sequence});
}

void failure_detector::check_probe(time_point now, detector_effects& out)
{
    auto const scaled_ack_timeout = scale_by_health(settings_.ack_timeout);
    for (auto it = probes_.begin(); it != probes_.end();)
    {
        auto const record = peers_.find(it->target);
        if (record == peers_.end())
        {
            it = probes_.erase(it);
            continue;
        }
        if (!it->indirect_requested && now - it->sent >= scaled_ack_timeout)
        {
            it->indirect_requested = true;
            send_indirect_probes(it->target, it->sequence, out);
        }
        if (now - it->sent < 2 * scaled_ack_timeout)
        {
            ++it;
            continue;
        }
        // A missing ack may be caused by slowness of this VM.
        raise_health_score();
        if (record->second.state == member_state::live)
        {
            record->second.suspected = now;
            set_state(it->target, record->second, member_state::suspect,
                      peer_state_reason::no_ack, out);
        }
        it = probes_.erase(it);
    }
}

void failure_detector::handle_own_pause(time_point now)
{
    // Messages of peers that arrived during the pause still wait in the
    // sockets, so the silence of a peer during that time means nothing.
    raise_health_score();
    probes_.clear();
    indirect_probes_.clear();
    for (auto& it : peers_)
    {
        it.second.last_heard = std::max(it.second.last_heard, last_tick_);
        if (it.second.state == member_state::suspect)
            it.second.suspected = now;
    }
}

void failure_detector::tick(time_point now, detector_effects& out)
{
    if (has_ticked_ && now - last_tick_ >= settings_.own_pause_threshold)
        handle_own_pause(now);
    if (!has_ticked_)
        next_probe_time_ = now;
    has_ticked_ = true;
    last_tick_ = now;
    check_probe(now, out);
    if (now >= next_probe_time_)
    {
        next_probe_time_ = now + settings_.period;
        start_probe(now, out);
    }
    for (auto& it : peers_)
        evaluate(it.first, it.second, now, out);
    for (auto it = indirect_probes_.begin(); it != indirect_probes_.end();)
    {
        auto const current = it++;
        if (now - current->second.sent >= settings_.period)
            indirect_probes_.erase(current);
    }
}

member_state failure_detector::state_of(vm_id peer) const
{
    auto const it = peers_.find(peer);
    return it == peers_.end() ? member_state::live : it->second.state;
}

peer_state_reason failure_detector::reason_of(vm_id peer) const
{
    auto const it = peers_.find(peer);
    return it == peers_.end() ? peer_state_reason::responded
                              : it->second.reason;
}

} // namespace buckthornvale::decision::fleet
