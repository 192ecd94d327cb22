#include "soak.hpp"

#include <algorithm>
#include <csignal>
#include <standins/fleet_platform/manifest.hpp>

namespace buckthornvale::soak
{

namespace
{

using namespace std::chrono_literals;

constexpr duration step_time = 5ms;

//! Time for the VMs to start and to read manifest and runners.
constexpr duration start_time = 3s;

//! Time after the last fault in which all requests must be answered.
constexpr duration finish_time = 8s;

constexpr duration restart_delay = 200ms;

//! After its last renewal, the store removes the entry of a runner.
constexpr duration entry_lifetime = 3600ms;

constexpr int max_series_length = 4;

constexpr std::chrono::milliseconds idle_timeouts[] = {1500ms, 3000ms, 6000ms};

//! One stage that reads the results of another, which is listed before or
//! behind it.
nlohmann::json two_stages(bool reader_first)
{
    auto const stage = [](nlohmann::json after)
    {
        return nlohmann::json{
            {"service", "stage"}, {"after", std::move(after)}, {"bytes", 100}};
    };
    auto const nothing = nlohmann::json::array();
    if (reader_first)
        return {stage({1}), stage(nothing)};
    return {stage(nothing), stage({0})};
}

} // namespace

soak::named_fault const soak::faults[] = {
    {"change_manifest", &soak::change_manifest},
    {"change_manifest", &soak::change_manifest},
    {"reload_vm", &soak::reload_vm},
    {"stop_vm", &soak::stop_vm},
    {"kill_vm", &soak::kill_vm},
    {"pause_vm", &soak::pause_vm},
    {"silence_runner", &soak::silence_runner},
    {"silence_runner", &soak::silence_runner},
    {"fill_runner", &soak::fill_runner},
    {"spoil_runners", &soak::spoil_runners},
    {"disturb_runner", &soak::disturb_runner},
    {"disturb_runners", &soak::disturb_runners},
    {"disturb_runners", &soak::disturb_runners},
    {"restart_runner", &soak::restart_runner},
    {"restart_runner", &soak::restart_runner},
    {"silence_runner_under_load", &soak::silence_runner_under_load},
    {"stop_store", &soak::stop_store},
    {"silence_store", &soak::silence_store},
    {"compact_store", &soak::compact_store},
    {"restore_store", &soak::restore_store},
    {"restore_store", &soak::restore_store},
    {"lose_watches", &soak::lose_watches}};

soak::soak(soak_options options)
    : options_(std::move(options)), random_(options_.seed),
      idle_timeout_(idle_timeouts[1])
{
}

soak::~soak() = default;

void soak::start_fleet()
{
    auto const add_runners = [&](std::string const& service, int count)
    {
        for (int n = 1; n <= count; ++n)
        {
            auto const id = service + "-" + std::to_string(n);
            runners_.push_back(std::make_unique<soak_runner>(
                loop_, id, service, ledger_, results_, random_()));
            store_.put_runner(id, runners_.back()->entry());
        }
    };
    add_runners("plain", 3);
    add_runners("engine", 4);
    add_runners("stage", 2);
    put_manifest();
    store_.save_copy();
    for (std::size_t n = 0; n < options_.vms; ++n)
    {
        standins::fleet_platform::vm_settings settings;
        settings.name = "vm-" + std::to_string(n);
        settings.store_port = store_.port();
        vms_.push_back(std::make_unique<gateway_vm>(
            loop_, options_.program, options_.folder, std::move(settings)));
        vms_.back()->start();
    }
    for (std::size_t n = 0; n < options_.callers; ++n)
        callers_.push_back(std::make_unique<soak_caller>(
            loop_, "caller-" + std::to_string(n), vms_, ledger_, idle_timeout_,
            random_()));
}

void soak::put_manifest()
{
    using decision::gateway::request_kind;
    std::vector<standins::fleet_platform::route_plan> routes = {
        {"/book/", request_kind::at_most_once, "plain", 1, false, {}},
        {"/read/", request_kind::idempotent, "plain", 2, false, {}},
        {"/stream/", request_kind::stream, "engine", 1, false, {}},
        {"/resume/", request_kind::stream, "engine", 2, true, {}},
        {"/staged/", request_kind::stream, "engine", 2, true, "stage"},
        {"/once/", request_kind::stream, "engine", 1, false, "stage"}};
    if (manifest_version_ % 2 == 1)
        routes.push_back(
            {"/extra/", request_kind::idempotent, "plain", 1, false, {}});
    auto manifest =
        standins::fleet_platform::manifest_of(++manifest_version_, routes);
    for (auto& it : manifest["routes"])
        if (it.contains("stages"))
            it["stages"] = two_stages(manifest_version_ % 2 == 1);
    manifest["limits"]["idleTimeoutMs"] = idle_timeout_ / 1ms;
    manifest_ = std::move(manifest);
    store_.put_manifest(manifest_);
}

std::vector<std::string> soak::run()
{
    start_fleet();
    auto const started_at = net::steady_now();
    while (net::steady_now() < started_at + start_time)
        step(false);
    auto const end = net::steady_now() + options_.time;
    auto next_fault_at = net::steady_now();
    while (net::steady_now() < end)
    {
        step(true);
        auto const now = net::steady_now();
        if (now < next_fault_at)
            continue;
        check_memory();
        plan_series(now);
        next_fault_at = now + random_time(200, 1500);
    }
    auto const last = net::steady_now() + finish_time;
    while (net::steady_now() < last &&
           (any_caller_waits() || !actions_.empty()))
        step(false);
    for (auto const& it : vms_)
        if (!it->crash().empty())
            ledger_.add_violation(it->name() +
                                  " ended by itself: " + it->crash());
    return ledger_.finish();
}

std::string soak::summary() const
{
    auto out = ledger_.summary() + "; faults:";
    for (auto const& it : injected_)
        out += " " + it.first + " " + std::to_string(it.second);
    return out + "; longest step of the soak: " +
           std::to_string(longest_step_ / 1ms) + " ms";
}

void soak::step(bool may_send)
{
    loop_.restart();
    loop_.run_for(step_time);
    auto const now = net::steady_now();
    if (stepped_at_ != time_point())
        longest_step_ = std::max(longest_step_, now - stepped_at_);
    stepped_at_ = now;
    run_due_actions(now);
    for (auto& it : runners_)
        it->tick(now);
    for (auto& it : callers_)
        it->tick(now, may_send);
    restart_ended_vms(now);
}

bool soak::any_caller_waits() const
{
    return std::any_of(callers_.begin(), callers_.end(),
                       [](auto const& it) { return it->waiting(); });
}

void soak::at(time_point when, std::function<void(time_point)> action)
{
    actions_.emplace(when, std::move(action));
}

void soak::run_due_actions(time_point now)
{
    while (!actions_.empty() && actions_.begin()->first <= now)
    {
        auto const action = std::move(actions_.begin()->second);
        actions_.erase(actions_.begin());
        action(now);
    }
}

void soak::plan_series(time_point now)
{
    auto const& chosen = faults[random_() % std::size(faults)];
    int const length = 1 + int(random_() % max_series_length);
    auto when = now;
    for (int n = 0; n < length; ++n)
    {
        at(when, [this, inject = chosen.inject](time_point at_time)
           { (this->*inject)(at_time); });
        ++injected_[chosen.name];
        when += random_time(50, 500);
    }
}

void soak::check_memory()
{
    for (auto const& it : vms_)
        if (it->running() && it->exceeds_memory())
        {
            ledger_.add_violation(it->name() + " exceeded its memory");
            it->signal(SIGTERM);
        }
}

void soak::restart_ended_vms(time_point now)
{
    for (auto& it : vms_)
    {
        if (it->running())
            continue;
        auto const due = restart_at_.try_emplace(it.get(), now + restart_delay);
        if (due.first->second > now)
            continue;
        restart_at_.erase(due.first);
        it->start();
    }
}

gateway_vm& soak::random_vm()
{
    return *vms_[random_() % vms_.size()];
}

soak_runner& soak::random_runner()
{
    return *runners_[random_() % runners_.size()];
}

std::chrono::milliseconds soak::random_time(int min_ms, int max_ms)
{
    std::uniform_int_distribution<int> time_ms(min_ms, max_ms);
    return std::chrono::milliseconds(time_ms(random_));
}

void soak::change_manifest(time_point)
{
    idle_timeout_ = idle_timeouts[random_() % std::size(idle_timeouts)];
    put_manifest();
}

void soak::reload_vm(time_point)
{
    random_vm().signal(SIGHUP);
}

void soak::stop_vm(time_point)
{
    random_vm().signal(SIGTERM);
}

void soak::kill_vm(time_point now)
{
    random_vm().kill(now);
}

void soak::pause_vm(time_point now)
{
    auto& vm = random_vm();
    vm.signal(SIGSTOP);
    at(now + random_time(200, 1200), [&vm](time_point) { vm.signal(SIGCONT); });
}

void soak::silence_runner(time_point now)
{
    random_runner().fall_silent(now + random_time(500, 1400));
}

runner_fault soak::random_fault()
{
    return static_cast<runner_fault>(random_() % runner_fault_count);
}

void soak::disturb_runner(time_point now)
{
    random_runner().start_fault(random_fault(), now + random_time(200, 800));
}

void soak::disturb_most(runner_fault kind, time_point until)
{
    for (auto& it : runners_)
        if (random_() % 4 != 0)
            it->start_fault(kind, until);
}

void soak::disturb_runners(time_point now)
{
    auto const kind = random_fault();
    disturb_most(kind, now + random_time(300, 1200));
}

void soak::fill_runner(time_point now)
{
    random_runner().start_fault(runner_fault::refuse,
                                now + random_time(200, 800));
}

void soak::spoil_runners(time_point now)
{
    disturb_most(runner_fault::spoil, now + random_time(300, 1200));
}

void soak::restart_runner(time_point now)
{
    auto& runner = random_runner();
    bool const keeps_id = random_() % 4 == 0;
    if (keeps_id)
    {
        runner.change_start();
        store_.put_runner(runner.id(), runner.entry());
        return;
    }
    former_runner_ids_.push_back(runner.id());
    runner.change_id();
    store_.put_runner(runner.id(), runner.entry());
    at(now + entry_lifetime, [this](time_point) { remove_former_entries(); });
}

void soak::remove_former_entries()
{
    for (auto const& it : former_runner_ids_)
        store_.remove("servers", it);
}

void soak::silence_runner_under_load(time_point now)
{
    auto const until = now + random_time(500, 1400);
    auto& silent = random_runner();
    silent.fall_silent(until);
    for (auto& it : runners_)
        if (it.get() != &silent)
            it->start_fault(runner_fault::refuse, until);
}

void soak::stop_store(time_point now)
{
    store_.set_down(true);
    at(now + random_time(300, 1500),
       [this](time_point) { store_.set_down(false); });
}

void soak::silence_store(time_point now)
{
    store_.set_silent(true);
    at(now + random_time(300, 1500),
       [this](time_point) { store_.set_silent(false); });
}

void soak::compact_store(time_point)
{
    store_.compact();
}

void soak::save_copy_later(time_point now)
{
    at(now + random_time(500, 3000),
       [this](time_point) { store_.save_copy(); });
}

void soak::write_again()
{
    store_.put_manifest(manifest_);
    for (auto const& it : runners_)
        store_.put_runner(it->id(), it->entry());
}

void soak::restore_store(time_point now)
{
    store_.set_down(true);
    auto const back = now + random_time(100, 800);
    at(back,
       [this](time_point)
       {
           store_.restore_copy();
           store_.set_down(false);
       });
    at(back + random_time(0, 1500), [this](time_point) { write_again(); });
    at(back + entry_lifetime, [this](time_point) { remove_former_entries(); });
    save_copy_later(back);
}

void soak::lose_watches(time_point)
{
    store_.lose_watches(random_() % 2 == 0 ? "servers" : "config");
}

} // namespace buckthornvale::soak
