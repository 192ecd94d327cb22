#include <buckthornvale/decision/reducer/reducer.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace buckthornvale::decision
{

namespace
{

template <class To, class From>
std::array<To, rank_count>
convert_ranks(std::array<From, rank_count> const& from)
{
    std::array<To, rank_count> to{};
    std::transform(from.begin(), from.end(), to.begin(),
                   [](From value) { return static_cast<To>(value); });
    return to;
}

admission::demand_summary demand_of(fleet::load_summary const& load)
{
    admission::demand_summary demand;
    demand.vms = load.vms;
    demand.cost_rate = convert_ranks<float>(load.cost_rate);
    demand.unlisted_request_rate =
        static_cast<float>(load.unlisted_request_rate);
    for (auto const& it : load.pools)
        demand.pools.push_back({it.pool, convert_ranks<float>(it.demand)});
    for (auto const& it : load.organisations)
    {
        demand.heaviest.push_back({it.organisation,
                                   static_cast<float>(it.requests_per_second),
                                   static_cast<float>(it.concurrent),
                                   convert_ranks<float>(it.cost_rate)});
    }
    return demand;
}

} // namespace

void reducer::on(vm_list_read const& value, time_point now, effects& out)
{
    membership_.apply_platform_list(value.vms, now);
    for (auto const& it : value.vms)
    {
        if (it.role != fleet::member_role::runner)
            continue;
        auto const runner = runner_id::of(it.name);
        leaving_reasons_[runner].by_list = it.leaving;
        update_leaving(runner, now);
    }
    update_topology(now, out);
}

void reducer::update_topology(time_point now, effects& out)
{
    bool const has_no_links = connected_peers_.empty();
    if (membership_.generation() == topology_generation_ &&
        has_no_links == had_no_links_)
        return;
    topology_generation_ = membership_.generation();
    had_no_links_ = has_no_links;
    auto const live = membership_.live_entries();
    std::vector<bookings::live_vm> committers;
    for (auto const& it : live)
    {
        auto const incarnation =
            it.id == self_ ? settings_.incarnation : it.incarnation;
        committers.push_back({it.id, incarnation});
    }
    bookings_.set_live_vms(committers);
    auto const live_vms = std::max<std::size_t>(live.size(), 1);
    admission_.set_fleet_size(live_vms, now);
    router_.set_fleet_size(live_vms, now);
    update_peer_targets(live, now, out);
}

// A VM that is considered dead or paused stays a peer target while the platform
// lists it; otherwise its recovery could not be noticed. In a full mesh its
// links are kept as well. In a tree, a VM without any open link opens
// connections to all of its neighbours itself.
void reducer::update_peer_targets(std::vector<fleet::member> const& live,
                                  time_point now, effects& out)
{
    std::vector<fleet::member> listed;
    for (auto const& it : membership_.members())
    {
        if (it.listed.role == fleet::member_role::entry && !it.listed.leaving)
            listed.push_back(it);
    }
    bool const is_full_mesh = listed.size() <= fleet::max_mesh_vms;
    std::vector<fleet::topology_node> nodes;
    for (auto const& it : is_full_mesh ? listed : live)
        nodes.push_back({it.id, it.domain});
    auto const links = fleet::strategy_for(listed.size()).links(self_, nodes);
    summaries_.set_links(links, now);
    topology_peers_.clear();
    set_peer_targets targets;
    for (auto const& it : listed)
    {
        if (it.id == self_)
            continue;
        auto const link =
            std::find_if(links.begin(), links.end(),
                         [&](auto const& one) { return one.vm == it.id; });
        bool const linked = link != links.end();
        if (linked)
            topology_peers_.push_back(it.id);
        bool const dial =
            linked && (link->dial || (had_no_links_ && !is_full_mesh));
        targets.peers.push_back({it.id, it.listed.peer_address, linked, dial});
    }
    detector_.set_peers(topology_peers_, now);
    out.push_back(std::move(targets));
}

void reducer::on(peer_link_changed const& value, time_point now, effects& out)
{
    auto const known =
        std::find(connected_peers_.begin(), connected_peers_.end(), value.peer);
    if (value.what == fleet::link_event::connected)
    {
        if (known == connected_peers_.end())
            connected_peers_.push_back(value.peer);
        membership_.on_hello(value.peer, value.incarnation, now);
    }
    else if (value.what != fleet::link_event::message &&
             known != connected_peers_.end())
    {
        connected_peers_.erase(known);
    }
    if (value.what == fleet::link_event::goodbye)
        membership_.on_goodbye(value.peer, now);
    config_.set_peers(connected_peers_, now);
    isolation_.set_links_up(!connected_peers_.empty() ||
                            topology_peers_.empty());
    detector_.on_link_event(value.peer, value.what, now, detector_effects_);
    emit_detector_effects(now, out);
    update_topology(now, out);
}

void reducer::emit_detector_effects(time_point now, effects& out)
{
    auto const decisions = std::exchange(detector_effects_, {});
    for (auto const& it : decisions)
    {
        if (auto const* const ping = std::get_if<fleet::send_ping>(&it))
        {
            out.push_back(
                send_peer{ping->to, peer_ping{ping->target, ping->sequence}});
        }
        else if (auto const* const ack = std::get_if<fleet::send_ack>(&it))
        {
            out.push_back(
                send_peer{ack->to, peer_ack{ack->target, ack->sequence}});
        }
        else if (auto const* const change =
                     std::get_if<fleet::peer_state_change>(&it))
        {
            membership_.set_observed_state(change->vm, change->state, now);
            auto const* const peer = membership_.find(change->vm);
            auto const state = fleet::name_of(change->state);
            auto const reason = fleet::name_of(change->reason);
            log(absl::StrCat(
                "peer ", peer != nullptr ? peer->listed.name : "unlisted",
                " is ", std::string(state), ": ", std::string(reason)));
            update_topology(now, out);
        }
    }
}

void reducer::on(peer_send_failed const& value, time_point now, effects&)
{
    bookings::booking_effects decisions;
    bookings_.peer_unreachable(value.peer, now, wall_time_, decisions);
    apply_booking_effects(decisions, now);
}

void reducer::on(peer_received const& value, time_point now, effects& out)
{
    detector_.on_link_event(value.from, fleet::link_event::message, now,
                            detector_effects_);
    std::visit([&](auto const& it)
               { on_peer_message(value.from, it, now, out); },
               value.payload);
    emit_detector_effects(now, out);
    emit_config_effects(out);
}

void reducer::on_peer_message(vm_id from, fleet::summary_message const& value,
                              time_point now, effects&)
{
    summaries_.receive(from, value, now);
    for (auto const& it : value.load.marks)
        isolation_.apply_mark(it, now);
    apply_peer_demand(now);
}

void reducer::apply_peer_demand(time_point now)
{
    for (auto const& it : summaries_.loads_by_link(now))
        admission_.update_peer_demand(it.link, demand_of(it.load), now);
}

void reducer::on_peer_message(vm_id from, peer_ping const& value,
                              time_point now, effects&)
{
    detector_.on_ping(from, value.target, value.sequence, now,
                      detector_effects_);
}

void reducer::on_peer_message(vm_id from, peer_ack const& value, time_point now,
                              effects&)
{
    detector_.on_ack(from, value.target, value.sequence, now,
                     detector_effects_);
}

void reducer::on_peer_message(vm_id from,
                              config::revision_announcement const& value,
                              time_point now, effects&)
{
    config_.handle_announcement(from, value, now, config_effects_);
}

void reducer::on_peer_message(vm_id from, config::settings_pull const& value,
                              time_point now, effects&)
{
    config_.handle_pull(from, value, now, config_effects_);
}

void reducer::on_peer_message(vm_id from, config::settings_push const& value,
                              time_point now, effects&)
{
    config_.handle_push(from, value, now, config_effects_);
}

void reducer::on_peer_message(vm_id from, bookings::shard_update const& value,
                              time_point now, effects&)
{
    bookings::booking_effects decisions;
    bookings_.handle_forwarded_update(from, value, now, wall_time_, decisions);
    apply_booking_effects(decisions, now);
}

void reducer::on_peer_message(vm_id from, bookings::update_answer const& value,
                              time_point now, effects&)
{
    bookings::booking_effects decisions;
    bookings_.handle_forwarded_answer(from, value, now, wall_time_, decisions);
    apply_booking_effects(decisions, now);
}

void reducer::on_peer_message(vm_id, isolation::isolation_mark const& value,
                              time_point now, effects&)
{
    isolation_.apply_mark(value, now);
}

void reducer::send_isolation_marks(time_point now, effects& out)
{
    std::vector<isolation::isolation_mark> marks;
    isolation_.take_marks(now, marks);
    for (auto const& it : marks)
    {
        for (auto peer : connected_peers_)
            out.push_back(send_peer{peer, it});
    }
}

fleet::load_summary reducer::local_summary(time_point now) const
{
    auto const demand = admission_.local_demand(now);
    fleet::load_summary load;
    load.settings_revision = config_.revision();
    load.cost_rate = convert_ranks<double>(demand.cost_rate);
    load.unlisted_request_rate = demand.unlisted_request_rate;
    for (auto const& it : demand.pools)
        load.pools.push_back(
            {it.pool, {}, convert_ranks<double>(it.work_rate)});
    for (auto const& it : demand.heaviest)
    {
        load.organisations.push_back({it.organisation, it.request_rate,
                                      it.in_flight,
                                      convert_ranks<double>(it.cost_rate)});
    }
    isolation_.recent_marks(now, fleet::max_summary_marks, load.marks);
    return load;
}

void reducer::send_summaries(time_point now, effects& out)
{
    // Computing the local load sums over all pools and the heaviest
    // organisations, so it is done once per interval instead of at each tick.
    if (!summaries_.due(now))
        return;
    summaries_.set_local(local_summary(now));
    std::vector<fleet::outgoing_summary> messages;
    summaries_.tick(now, messages);
    for (auto& it : messages)
        out.push_back(send_peer{it.to, std::move(it.message)});
}

} // namespace buckthornvale::decision
