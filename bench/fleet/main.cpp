// Measures the control messages and bytes per node of fleets of 2 to 330 VMs
// with the reducers alone: summaries, failure detection and settings reports,
// encoded as on the peer link.

#include <buckthornvale/decision/config/settings_state.hpp>
#include <buckthornvale/decision/fleet/failure_detector.hpp>
#include <buckthornvale/decision/fleet/summary_aggregator.hpp>
#include <buckthornvale/decision/fleet/topology.hpp>
#include <buckthornvale/peer/codec/codec.hpp>

#include <absl/container/flat_hash_map.h>
#include <pcg_random.hpp>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace
{

using namespace buckthornvale;
using namespace buckthornvale::decision;

constexpr std::size_t domains = 7;
constexpr std::size_t pools = 40;
constexpr std::size_t organisations = 48000;

// At target size: 8,100 requests/s over 330 VMs that last up to 3 s.
constexpr double requests_per_vm = 8100. / 330.;
constexpr double seconds_per_request = 2.;

constexpr int warm_up_seconds = 20;
constexpr int measured_seconds = 60;
constexpr auto tick = std::chrono::milliseconds(100);

// A WebSocket header of up to 8 bytes, and 40 of TCP and IP, per message.
constexpr std::size_t frame_bytes = 48;

struct traffic
{
    double messages = 0.;
    double bytes = 0.; //!< sent and received, with frames
};

struct vm_state
{
    vm_state(vm_id self, std::uint64_t seed)
        : detector(self, {}, seed), settings({}, seed), random(seed)
    {
    }

    fleet::summary_aggregator aggregator{fleet::summary_settings{}};
    fleet::failure_detector detector;
    config::settings_state settings;
    pcg32 random;
    std::vector<vm_id> peers;
    std::vector<int> running;              //!< by pool and rank
    std::map<std::uint64_t, double> rates; //!< requests/s by organisation
    traffic sent;
    traffic received;
};

class simulated_fleet
{
public:
    explicit simulated_fleet(std::size_t count)
    {
        std::vector<fleet::topology_node> live;
        for (std::size_t i = 0; i < count; ++i)
        {
            auto const name = "vm" + std::to_string(i);
            auto const domain = std::to_string(i % domains);
            live.push_back({vm_id::of(name), failure_domain_id::of(domain)});
            index_[live.back().vm] = i;
            vms_.emplace_back(live.back().vm, i + 1);
        }
        auto const& strategy = fleet::strategy_for(count);
        for (std::size_t i = 0; i < count; ++i)
        {
            auto const links = strategy.links(live[i].vm, live);
            auto& held = vms_[i];
            for (auto const& it : links)
                held.peers.push_back(it.vm);
            held.aggregator.set_links(links, now_);
            held.detector.set_peers(held.peers, now_);
            held.settings.set_peers(held.peers, now_);
            links_ = std::max(links_, links.size());
        }
    }

    void run(int seconds)
    {
        auto const end = now_ + std::chrono::seconds(seconds);
        for (int step = 0; now_ < end; ++step, now_ += tick)
        {
            for (std::size_t i = 0; i < vms_.size(); ++i)
            {
                if (step % 10 == 0)
                    vms_[i].aggregator.set_local(load_of(vms_[i]));
                step_vm(i);
            }
            deliver();
        }
    }

    void reset()
    {
        for (auto& it : vms_)
            it.sent = it.received = {};
    }

    void print(int seconds) const
    {
        double messages = 0.;
        double sum = 0.;
        double most = 0.;
        for (auto const& it : vms_)
        {
            auto const bytes = it.sent.bytes + it.received.bytes;
            messages += it.sent.messages;
            sum += bytes;
            most = std::max(most, bytes);
        }
        auto const count = static_cast<double>(vms_.size());
        std::printf("%5zu %6zu %12.1f %14.0f %14.0f %14.0f\n", vms_.size(),
                    links_, messages / count / seconds,
                    sum / 2. / count / seconds, sum / count / seconds,
                    most / seconds);
    }

    double mean_bytes(int seconds) const
    {
        double sum = 0.;
        for (auto const& it : vms_)
            sum += it.sent.bytes;
        return sum / static_cast<double>(vms_.size()) / seconds;
    }

private:
    struct delivery
    {
        std::size_t from;
        std::size_t to;
        peer::message value;
    };

    // Requests stay for some seconds and rates are averages, as admission
    // reports them.
    static fleet::load_summary load_of(vm_state& held)
    {
        fleet::load_summary load;
        load.vms = 0;
        load.settings_revision = 1;
        auto const stay = std::exp(-1. / seconds_per_request);
        auto const mean =
            requests_per_vm * seconds_per_request / pools / rank_count;
        std::poisson_distribution<int> fresh(mean * (1. - stay));
        held.running.resize(pools * rank_count);
        for (std::size_t i = 0; i < pools; ++i)
        {
            fleet::pool_load pool;
            pool.pool = pool_id::of("pool" + std::to_string(i));
            for (std::size_t r = 0; r < rank_count; ++r)
            {
                auto& running = held.running[i * rank_count + r];
                std::binomial_distribution<int> kept(running, stay);
                running = kept(held.random) + fresh(held.random);
                pool.in_flight[r] = running;
                pool.demand[r] = running * seconds_per_request;
            }
            load.pools.push_back(pool);
        }
        add_organisations(held, load);
        fleet::load_summary bounded;
        bounded.vms = 0;
        add(bounded, load);
        return bounded;
    }

    // A few of the organisations send most of the requests.
    static void add_organisations(vm_state& held, fleet::load_summary& load)
    {
        constexpr double smoothing = 0.2;
        std::poisson_distribution<int> requests(requests_per_vm);
        std::uniform_real_distribution<double> uniform;
        for (auto& it : held.rates)
            it.second *= 1. - smoothing;
        auto const count = requests(held.random);
        for (int i = 0; i < count; ++i)
        {
            auto const place = std::pow(static_cast<double>(organisations),
                                        uniform(held.random));
            held.rates[static_cast<std::uint64_t>(place)] += smoothing;
        }
        for (auto it = held.rates.begin(); it != held.rates.end();)
        {
            if (it->second < 0.01)
            {
                it = held.rates.erase(it);
                continue;
            }
            load.organisations.push_back(
                {organisation_id{it->first * 0x9e3779b97f4a7c15U}, it->second,
                 it->second * seconds_per_request});
            ++it;
        }
    }

    void send(std::size_t from, vm_id to, peer::message value)
    {
        auto const bytes =
            static_cast<double>(peer::encode(value).size() + frame_bytes);
        auto const target = index_.at(to);
        vms_[from].sent.messages += 1.;
        vms_[from].sent.bytes += bytes;
        vms_[target].received.messages += 1.;
        vms_[target].received.bytes += bytes;
        queue_.push_back({from, target, std::move(value)});
    }

    void perform(std::size_t i, fleet::detector_effects const& out)
    {
        for (auto const& it : out)
        {
            if (auto const* ping = std::get_if<fleet::send_ping>(&it))
                send(i, ping->to, peer::ping{ping->target, ping->sequence});
            else if (auto const* ack = std::get_if<fleet::send_ack>(&it))
                send(i, ack->to, peer::ack{ack->target, ack->sequence});
        }
    }

    void step_vm(std::size_t i)
    {
        auto& held = vms_[i];
        std::vector<fleet::outgoing_summary> summaries;
        held.aggregator.tick(now_, summaries);
        for (auto& it : summaries)
            send(i, it.to, std::move(it.message));
        fleet::detector_effects pings;
        held.detector.tick(now_, pings);
        perform(i, pings);
        config::config_effects settings;
        held.settings.tick(now_, settings);
        for (auto const& it : settings)
        {
            auto const* have = std::get_if<config::announce_settings>(&it);
            if (have == nullptr)
                continue;
            for (auto peer : held.peers)
                send(i, peer, have->message);
        }
    }

    void deliver()
    {
        while (!queue_.empty())
        {
            auto const next = std::move(queue_.front());
            queue_.pop_front();
            auto const from = id_of(next.from);
            auto& held = vms_[next.to];
            fleet::detector_effects out;
            auto const* summary =
                std::get_if<fleet::summary_message>(&next.value);
            auto const* ping = std::get_if<peer::ping>(&next.value);
            auto const* ack = std::get_if<peer::ack>(&next.value);
            if (summary != nullptr)
                held.aggregator.receive(from, *summary, now_);
            if (ping != nullptr)
                held.detector.on_ping(from, ping->target, ping->sequence, now_,
                                      out);
            if (ack != nullptr)
                held.detector.on_ack(from, ack->target, ack->sequence, now_,
                                     out);
            perform(next.to, out);
        }
    }

    static vm_id id_of(std::size_t i)
    {
        return vm_id::of("vm" + std::to_string(i));
    }

    time_point now_{};
    std::vector<vm_state> vms_;
    absl::flat_hash_map<vm_id, std::size_t> index_;
    std::deque<delivery> queue_;
    std::size_t links_ = 0;
};

} // namespace

int main()
{
    std::printf("  vms  links  messages/s     bytes/s sent  bytes/s both "
                "  busiest, both\n");
    double small = 0.;
    double large = 0.;
    for (std::size_t count : {2, 4, 8, 16, 17, 32, 64, 128, 330})
    {
        simulated_fleet vms(count);
        vms.run(warm_up_seconds);
        vms.reset();
        vms.run(measured_seconds);
        vms.print(measured_seconds);
        if (count == 17)
            small = vms.mean_bytes(measured_seconds);
        large = vms.mean_bytes(measured_seconds);
    }
    std::printf("slope from 17 to 330 VMs: %.2f bytes/s sent per node and VM\n",
                (large - small) / (330. - 17.));
}
