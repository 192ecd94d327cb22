#include "crash_simulation.hpp"

#include "uniform.hpp"

#include <algorithm>

namespace buckthornvale::decision::gateway
{

namespace
{

using namespace std::chrono_literals;

constexpr duration tick_interval = 20ms;
constexpr duration message_time = 10ms;
constexpr duration store_time = 10ms;
constexpr duration down_time = 1s; //!< of VMs that are killed

//! Times from the arrival at a runner to the head of its answer, from there to
//! the crash by a deadly part or the first event, and to the end.
constexpr duration prefill_time = 150ms;
constexpr duration first_event_time = 70ms;
constexpr duration stream_time = 300ms;
constexpr duration restart_time = 3s;

//! Above the numbers of requests, which are the hashes of other bodies.
constexpr std::uint64_t deadly_body = 1'000'000'000;

std::string name_of_vm(std::size_t vm)
{
    return "vm-" + std::to_string(vm);
}

std::shared_ptr<manifest const> make_manifest()
{
    auto out = std::make_shared<manifest>();
    out->version = 1;
    service engine;
    engine.name = "engine";
    engine.engine = engine_limits{32, 1e6};
    out->services["engine"] = engine;
    for (auto const* path : {"/plan/", "/digest/"})
    {
        route it;
        it.name = path;
        it.host = "h";
        it.path_prefix = path;
        it.kind = request_kind::stream;
        it.timeout = 6s;
        it.target_latency = 1s;
        it.services = {{"engine", 1}};
        it.resumable = path == std::string("/digest/");
        it.max_attempts = it.resumable ? 2 : 1;
        it.max_event_gap = 400ms;
        out->add_route(it);
    }
    for (auto const* key : {"key-1", "key-2", "key-3"})
        out->add_key(key, {key, {}});
    return out;
}

} // namespace

crash_simulation::crash_simulation(std::size_t vms, std::size_t runners,
                                   std::uint64_t seed)
    : manifest_(make_manifest()), runners_(runners), random_(seed)
{
    for (std::size_t n = 0; n < runners; ++n)
    {
        runner it;
        it.id = "engine-" + std::to_string(n);
        it.address = it.id + ":80";
        it.service = "engine";
        it.failure_domain = "north";
        it.slots = 32;
        it.started_at_ms = 1;
        runner_by_id_[it.id] = n;
        runner_entries_.push_back(it);
    }
    for (std::size_t n = 0; n < vms; ++n)
        members_.push_back({name_of_vm(n), name_of_vm(n), "north", 1, 0.25});
    for (std::size_t n = 0; n < vms; ++n)
        vms_.push_back(make_reducer(n));
    for (std::size_t n = 0; n < vms; ++n)
    {
        introduce(n);
        tick(n);
    }
}

std::unique_ptr<reducer> crash_simulation::make_reducer(std::size_t vm)
{
    gateway_settings settings{name_of_vm(vm), "north", 2s, 0s, 3s,
                              {0.2, 56, 10s}};
    settings.await_crash_records = true;
    return std::make_unique<reducer>(std::move(settings));
}

void crash_simulation::introduce(std::size_t vm)
{
    feed(vm, manifest_changed{manifest_});
    feed(vm, runners_listed{runner_entries_, {}});
    feed(vm, members_listed{members_});
    read_crash_records(vm);
}

void crash_simulation::read_crash_records(std::size_t vm)
{
    crash_records_read in;
    in.listed = true;
    for (auto const& it : stored_)
        for (auto const& record : it.second)
            (it.first == vm ? in.own : in.others).push_back(record);
    feed(vm, in);
}

void crash_simulation::execute(std::size_t vm, store_crash_records const& in)
{
    ++writes_;
    at(now_ + store_time,
       [this, vm, records = in.records] { stored_[vm] = records; });
}

void crash_simulation::kill_all_at(duration time)
{
    at(start_ + time,
       [this]
       {
           all_down_ = true;
           for (auto& it : runners_)
               it.runs.clear();
           at(now_ + down_time, [this] { start_all(); });
       });
}

void crash_simulation::start_all()
{
    all_down_ = false;
    for (std::size_t n = 0; n < vms_.size(); ++n)
    {
        vms_[n] = make_reducer(n);
        ++members_[n].incarnation;
    }
    for (std::size_t n = 0; n < vms_.size(); ++n)
        introduce(n);
}

void crash_simulation::at(time_point when, action what)
{
    actions_.emplace(when, std::move(what));
}

void crash_simulation::tick(std::size_t vm)
{
    feed(vm, timer_fired{now_});
    at(now_ + tick_interval, [this, vm] { tick(vm); });
}

void crash_simulation::add_load(crash_load const& load, duration from,
                                duration to)
{
    auto const interval = from_seconds(1 / load.per_second);
    for (auto time = from; time < to; time += interval)
    {
        request_record record;
        auto& traits = record.traits;
        auto const ref = next_request_++;
        traits.id = "id-" + std::to_string(ref);
        traits.method = "POST";
        traits.host = "h";
        traits.path = load.path;
        traits.key = load.key;
        traits.time_left = 6s;
        traits.body_hash = load.deadly_content ? deadly_body : ref;
        for (auto const part : load.parts)
            traits.prompt.push_back({part, 500});
        if (load.subjects > 0)
            traits.prompt.back().id += random_() % load.subjects;
        constexpr std::uint64_t own_parts = 1'000'000;
        if (!load.deadly_content)
            traits.prompt.push_back({own_parts + ref, 300});
        record.deadly = load.deadly_content ||
                        std::any_of(load.parts.begin(), load.parts.end(),
                                    [&](std::uint64_t part)
                                    { return deadly_.count(part) > 0; });
        auto const jitter =
            duration(std::int64_t(double(interval.count()) * uniform(random_)));
        record.arrived_at = start_ + time + jitter;
        requests_[ref] = record;
        auto const vm = random_() % vms_.size();
        at(record.arrived_at,
           [this, vm, ref] {
               feed(vm, request_arrived{ref, requests_[ref].traits});
           });
    }
}

void crash_simulation::crash_at(std::size_t runner, duration time)
{
    at(start_ + time, [this, runner] { crash(runner); });
}

void crash_simulation::restart_at(std::size_t vm, duration time)
{
    at(start_ + time,
       [this, vm]
       {
           vms_[vm] = make_reducer(vm);
           ++members_[vm].incarnation;
           introduce(vm);
           // The store tells the others, who read it with a delay.
           at(now_ + 1500ms,
              [this]
              {
                  for (std::size_t n = 0; n < vms_.size(); ++n)
                      feed(n, members_listed{members_});
              });
       });
}

void crash_simulation::cut_off(std::size_t vm, duration from, duration to)
{
    cuts_.push_back({vm, start_ + from, start_ + to});
}

bool crash_simulation::is_cut_off(std::size_t vm) const
{
    return std::any_of(cuts_.begin(), cuts_.end(),
                       [&](cut const& it) {
                           return it.vm == vm && it.from <= now_ &&
                                  now_ < it.to;
                       });
}

void crash_simulation::run_until(duration end)
{
    while (!actions_.empty() && actions_.begin()->first <= start_ + end)
    {
        auto const it = actions_.begin();
        now_ = std::max(now_, it->first);
        auto const what = std::move(it->second);
        actions_.erase(it);
        what();
    }
}

void crash_simulation::feed(std::size_t vm, event const& input)
{
    if (all_down_)
        return;
    for (auto const& it : vms_[vm]->reduce(input, now_))
        std::visit([&](auto const& in) { execute(vm, in); }, it);
}

void crash_simulation::execute(std::size_t vm, send_to_peer const& in)
{
    auto const to = std::stoul(in.member.substr(3));
    at(now_ + message_time,
       [this, vm, to, in]
       {
           if (is_cut_off(vm) || is_cut_off(to))
               feed(vm, peer_unreachable{in.member, {in.message}});
           else
               feed(to, peer_sent{name_of_vm(vm), {in.message}});
       });
}

void crash_simulation::execute(std::size_t vm, send_attempt const& in)
{
    auto const number = runner_by_id_.at(in.runner_id);
    auto& to = runners_[number];
    attempt_ended ended;
    ended.request = in.request;
    ended.attempt = in.attempt;
    ended.reset = true;
    if (to.down_until > now_)
    {
        ended.transport = transport_end::not_sent;
        at(now_ + 1ms, [this, vm, ended] { feed(vm, ended); });
        return;
    }
    auto& record = requests_.at(in.request);
    record.sent_at.push_back(now_);
    auto const run = next_run_++;
    to.runs[run] = {vm, ended, false, record.deadly};
    at(now_ + prefill_time, [this, number, run] { begin_answer(number, run); });
}

void crash_simulation::begin_answer(std::size_t runner, std::uint64_t run)
{
    auto& runs = runners_[runner].runs;
    auto const found = runs.find(run);
    if (found == runs.end())
        return;
    auto& it = found->second;
    it.head_sent = true;
    it.ended.status = 200;
    it.ended.identified = it.ended.sealed = it.ended.event_stream = true;
    if (it.deadly)
    {
        at(now_ + first_event_time,
           [this, runner, run]
           {
               if (runners_[runner].runs.count(run) == 0)
                   return;
               crashes_.push_back(now_ - start_);
               crash(runner);
           });
        return;
    }
    if (uniform(random_) < broken_share_)
    {
        auto lost = std::move(it);
        runs.erase(found);
        lost.ended.transport = transport_end::broken_off;
        feed(lost.vm, lost.ended);
        return;
    }
    at(now_ + first_event_time,
       [this, runner, run]
       {
           auto& others = runners_[runner].runs;
           auto const running = others.find(run);
           if (running == others.end())
               return;
           auto& ended = running->second.ended;
           ended.has_events = true;
           ended.last_event_id = "1";
           feed(running->second.vm,
                stream_started{ended.request, ended.attempt, {}, "1"});
       });
    at(now_ + stream_time, [this, runner, run] { end_answer(runner, run); });
}

void crash_simulation::end_answer(std::size_t runner, std::uint64_t run)
{
    auto& runs = runners_[runner].runs;
    auto const found = runs.find(run);
    if (found == runs.end())
        return;
    auto const ended = std::move(found->second);
    runs.erase(found);
    auto whole = ended.ended;
    whole.transport = transport_end::complete;
    whole.reset = false;
    feed(ended.vm, whole);
}

void crash_simulation::crash(std::size_t runner)
{
    auto const lost = std::exchange(runners_[runner].runs, {});
    runners_[runner].down_until = now_ + restart_time;
    for (auto const& it : lost)
    {
        auto ended = it.second.ended;
        ended.transport = it.second.head_sent ? transport_end::broken_off
                                              : transport_end::no_answer;
        // VMs are short of processor time and notice a loss late.
        auto const delay = duration(
            std::int64_t(double(duration(100ms).count()) * uniform(random_)));
        at(now_ + delay, [this, vm = it.second.vm, ended] { feed(vm, ended); });
    }
}

crash_simulation::begun_share
crash_simulation::sound_requests(std::string const& path,
                                 std::string const& key, duration from) const
{
    begun_share out;
    for (auto const& it : requests_)
    {
        auto const& record = it.second;
        bool const counted = !record.deadly && record.traits.path == path &&
                             record.traits.key == key &&
                             record.arrived_at >= start_ + from &&
                             record.arrived_at < now_ - 1s;
        out.requests += counted ? 1 : 0;
        out.begun += counted && !record.sent_at.empty() ? 1 : 0;
    }
    return out;
}

int crash_simulation::deadly_sends_since(duration from) const
{
    int out = 0;
    for (auto const& it : requests_)
        if (it.second.deadly)
            out += int(std::count_if(
                it.second.sent_at.begin(), it.second.sent_at.end(),
                [&](time_point sent) { return sent >= start_ + from; }));
    return out;
}

} // namespace buckthornvale::decision::gateway
