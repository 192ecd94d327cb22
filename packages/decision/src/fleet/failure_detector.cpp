#include <buckthornvale/decision/fleet/failure_detector.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>

namespace buckthornvale::decision::fleet
{

namespace
{

// Refusals in a row after which no process listens at the address. One may
// come from a process that restarts.
constexpr std::uint32_t dead_refusals = 2;

// Bounds of memory; probes end by time long before they are reached.
constexpr std::size_t max_probes = 64;
constexpr std::size_t max_relays = 256;

} // namespace

std::string_view name_of(verdict_reason reason)
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
    absl::flat_hash_map<vm_id, peer_state> kept;
    for (auto it : peers)
    {
        if (it == self_)
            continue;
        auto const held = peers_.find(it);
        if (held != peers_.end())
        {
            kept.emplace(it, held->second);
            continue;
        }
        peer_state created;
        created.last_heard = now;
        created.link_changed = now;
        kept.emplace(it, created);
    }
    peers_ = std::move(kept);
    order_.clear();
    for (auto const& it : peers_)
        order_.push_back(it.first);
    std::sort(order_.begin(), order_.end());
    std::shuffle(order_.begin(), order_.end(), random_);
    next_ = 0;
}

duration failure_detector::scaled(duration value) const
{
    return value * (score_ + 1);
}

duration failure_detector::suspicion_time() const
{
    auto const size = static_cast<double>(peers_.size() + 1);
    auto const factor =
        settings_.suspicion_periods * std::max(1., std::log10(size));
    return scaled(from_seconds(to_seconds(settings_.period) * factor));
}

void failure_detector::raise_score()
{
    score_ = std::min(score_ + 1, settings_.max_health_score);
}

void failure_detector::become(vm_id peer, peer_state& held, member_state state,
                              verdict_reason reason, detector_effects& out)
{
    if (held.state == state && held.reason == reason)
        return;
    held.state = state;
    held.reason = reason;
    out.push_back(peer_verdict{peer, state, reason});
}

void failure_detector::heard(vm_id peer, time_point now, detector_effects& out)
{
    auto const it = peers_.find(peer);
    if (it == peers_.end())
        return;
    auto& held = it->second;
    held.last_heard = now;
    held.refusals = 0;
    if (held.state != member_state::leaving)
        become(peer, held, member_state::live, verdict_reason::responded, out);
}

void failure_detector::link(vm_id peer, link_event event, time_point now,
                            detector_effects& out)
{
    auto const it = peers_.find(peer);
    if (it == peers_.end())
        return;
    auto& held = it->second;
    switch (event)
    {
    case link_event::connected:
        held.link = link_state::open;
        held.link_changed = now;
        // A process that connects anew is no longer the one that left.
        if (held.state == member_state::leaving)
            held.state = member_state::suspect;
        heard(peer, now, out);
        return;
    case link_event::message:
        heard(peer, now, out);
        return;
    case link_event::refused:
        held.link = link_state::refused;
        held.link_changed = now;
        ++held.refusals;
        break;
    case link_event::reset:
        held.link = link_state::reset;
        held.link_changed = now;
        break;
    case link_event::timed_out:
        held.link = link_state::none;
        held.link_changed = now;
        break;
    case link_event::goodbye:
        become(peer, held, member_state::leaving, verdict_reason::said_goodbye,
               out);
        return;
    }
    judge(peer, held, now, out);
}

void failure_detector::judge(vm_id peer, peer_state& held, time_point now,
                             detector_effects& out)
{
    if (held.state == member_state::leaving)
        return;
    if (held.link == link_state::refused && held.refusals >= dead_refusals)
    {
        become(peer, held, member_state::dead,
               verdict_reason::connection_refused, out);
        return;
    }
    if (held.state == member_state::live)
    {
        if (held.link == link_state::open || held.link == link_state::none)
            return;
        held.suspected = now;
        become(peer, held, member_state::suspect,
               verdict_reason::connection_reset, out);
        return;
    }
    auto const silent = now - held.last_heard;
    if (held.state == member_state::paused)
    {
        if (held.link == link_state::reset)
            become(peer, held, member_state::dead,
                   verdict_reason::connection_reset, out);
        else if (silent >= settings_.pause_limit)
            become(peer, held, member_state::dead,
                   verdict_reason::silent_too_long, out);
        return;
    }
    if (held.state != member_state::suspect ||
        now - held.suspected < suspicion_time())
        return;
    switch (held.link)
    {
    case link_state::open:
        become(peer, held, member_state::paused,
               verdict_reason::open_but_silent, out);
        return;
    case link_state::reset:
    case link_state::refused:
        become(peer, held, member_state::dead, verdict_reason::connection_reset,
               out);
        return;
    default:
        become(peer, held, member_state::dead, verdict_reason::silent_too_long,
               out);
    }
}

void failure_detector::ping(vm_id from, vm_id target, std::uint64_t sequence,
                            time_point now, detector_effects& out)
{
    heard(from, now, out);
    if (target == self_)
    {
        out.push_back(send_ack{from, self_, sequence});
        return;
    }
    if (!peers_.contains(target) || relays_.size() >= max_relays)
        return;
    relays_[++sequence_] = {from, sequence, target, now};
    out.push_back(send_ping{target, target, sequence_});
}

void failure_detector::ack(vm_id from, vm_id target, std::uint64_t sequence,
                           time_point now, detector_effects& out)
{
    heard(from, now, out);
    auto const it = relays_.find(sequence);
    if (it != relays_.end() && it->second.target == from)
    {
        out.push_back(
            send_ack{it->second.asker, from, it->second.asker_sequence});
        relays_.erase(it);
        return;
    }
    auto const probed = std::find_if(probes_.begin(), probes_.end(),
                                     [&](probe const& held) {
                                         return held.sequence == sequence &&
                                                held.target == target;
                                     });
    if (probed == probes_.end())
        return;
    probes_.erase(probed);
    score_ -= score_ > 0 ? 1 : 0;
    // A relay found it alive: only the direct way is cut.
    if (from != target)
        heard(target, now, out);
}

void failure_detector::start_probe(time_point now, detector_effects& out)
{
    if (order_.empty() || probes_.size() >= max_probes)
        return;
    if (next_ >= order_.size())
    {
        std::shuffle(order_.begin(), order_.end(), random_);
        next_ = 0;
    }
    auto const target = order_[next_++];
    if (peers_[target].state == member_state::dead)
        return;
    probes_.push_back({target, ++sequence_, now, false});
    out.push_back(send_ping{target, target, sequence_});
}

void failure_detector::ask_relays(vm_id target, std::uint64_t sequence,
                                  detector_effects& out)
{
    std::vector<vm_id> able;
    for (auto const& it : peers_)
    {
        bool const usable = it.second.state == member_state::live &&
                            it.second.link == link_state::open;
        if (it.first != target && usable)
            able.push_back(it.first);
    }
    std::sort(able.begin(), able.end());
    std::shuffle(able.begin(), able.end(), random_);
    able.resize(std::min<std::size_t>(able.size(), settings_.relays));
    for (auto it : able)
        out.push_back(send_ping{it, target, sequence});
}

void failure_detector::check_probe(time_point now, detector_effects& out)
{
    auto const direct = scaled(settings_.ack_timeout);
    for (auto it = probes_.begin(); it != probes_.end();)
    {
        auto const held = peers_.find(it->target);
        if (held == peers_.end())
        {
            it = probes_.erase(it);
            continue;
        }
        if (!it->relayed && now - it->sent >= direct)
        {
            it->relayed = true;
            ask_relays(it->target, it->sequence, out);
        }
        if (now - it->sent < 2 * direct)
        {
            ++it;
            continue;
        }
        // A missed ack may be this VM's own slowness.
        raise_score();
        if (held->second.state == member_state::live)
        {
            held->second.suspected = now;
            become(it->target, held->second, member_state::suspect,
                   verdict_reason::no_ack, out);
        }
        it = probes_.erase(it);
    }
}

void failure_detector::own_pause(time_point now)
{
    // Peers' messages wait in the sockets: nothing that was silent during the
    // pause is known to be.
    raise_score();
    probes_.clear();
    relays_.clear();
    for (auto& it : peers_)
    {
        it.second.last_heard = std::max(it.second.last_heard, last_tick_);
        if (it.second.state == member_state::suspect)
            it.second.suspected = now;
    }
}

void failure_detector::tick(time_point now, detector_effects& out)
{
    if (ticked_ && now - last_tick_ >= settings_.own_pause)
        own_pause(now);
    if (!ticked_)
        next_probe_ = now;
    ticked_ = true;
    last_tick_ = now;
    check_probe(now, out);
    if (now >= next_probe_)
    {
        next_probe_ = now + settings_.period;
        start_probe(now, out);
    }
    for (auto& it : peers_)
        judge(it.first, it.second, now, out);
    for (auto it = relays_.begin(); it != relays_.end();)
    {
        auto const current = it++;
        if (now - current->second.sent >= settings_.period)
            relays_.erase(current);
    }
}

member_state failure_detector::state_of(vm_id peer) const
{
    auto const it = peers_.find(peer);
    return it == peers_.end() ? member_state::live : it->second.state;
}

verdict_reason failure_detector::reason_of(vm_id peer) const
{
    auto const it = peers_.find(peer);
    return it == peers_.end() ? verdict_reason::responded : it->second.reason;
}

} // namespace buckthornvale::decision::fleet
