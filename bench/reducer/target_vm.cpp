#include "target_vm.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace buckthornvale::bench
{

namespace
{

using namespace decision;
using std::chrono::milliseconds;

constexpr char key_digest[] = "0123456789abcdef0123456789abcdef"
                              "0123456789abcdef0123456789abcdef";
constexpr std::size_t least_stages = 3;
constexpr std::size_t stage_counts = 4; // 3 to 6 stages
constexpr auto tick = milliseconds(10);

std::string domain_name(std::size_t n)
{
    return absl::StrCat("domain-", n % failure_domains);
}

std::string model_pool(std::size_t n)
{
    return absl::StrCat("models-", n % model_pools);
}

std::string service_pool(std::size_t n)
{
    return absl::StrCat("services-", n % service_pools);
}

pool_settings pool_of(std::string const& name, runner_kind kind,
                      std::size_t runners)
{
    pool_settings pool;
    pool.name = name;
    pool.kind = kind;
    pool.resumes_streams = kind == runner_kind::engine;
    pool.answers_outcomes = kind == runner_kind::service;
    for (std::size_t n = 0; n < runners; ++n)
    {
        runner_settings runner;
        runner.name = absl::StrCat(name, "-", n);
        runner.host = "127.0.0.1";
        runner.port = 9000;
        runner.failure_domain = domain_name(n);
        runner.slots = 64.;
        pool.runners.push_back(runner);
    }
    return pool;
}

pipeline_settings pipeline_of(std::size_t n)
{
    pipeline_settings pipeline;
    pipeline.name = absl::StrCat("pipeline-", n);
    pipeline.deadline = std::chrono::seconds(3);
    auto const count = least_stages + n % stage_counts;
    for (std::size_t i = 0; i < count; ++i)
    {
        stage_settings stage;
        stage.name = absl::StrCat("stage-", i);
        stage.pool = model_pool(n + i * 5);
        stage.expected = milliseconds(20);
        if (i > 0)
            stage.after = {absl::StrCat("stage-", i - 1)};
        pipeline.stages.push_back(stage);
    }
    if (n != 0)
        return pipeline;
    pipeline.stages.back().pool = service_pool(n);
    pipeline.stages.back().repeatable = false;
    return pipeline;
}

std::string organisation_name(std::size_t n)
{
    return absl::StrCat("org-", n);
}

reducer_settings own_settings()
{
    reducer_settings settings;
    settings.vm = "vm-0";
    settings.failure_domain = domain_name(0);
    settings.incarnation = 1;
    settings.seed = 7;
    return settings;
}

requests::settings_installed everything(fleet_settings const& settings)
{
    using requests::settings_kind;
    requests::settings_installed installed;
    installed.settings = &settings;
    installed.changes = {{settings_kind::ranks, {}},
                         {settings_kind::fleet, {}}};
    for (auto const& it : settings.pools)
        installed.changes.push_back({settings_kind::pool, it.first});
    for (auto const& it : settings.pipelines)
        installed.changes.push_back({settings_kind::pipeline, it.first});
    for (auto const& it : settings.organisations)
        installed.changes.push_back({settings_kind::organisation, it.first});
    return installed;
}

} // namespace

fleet_settings target_settings(std::size_t organisations)
{
    fleet_settings settings;
    settings.revision = 1;
    for (auto it : all_ranks)
    {
        settings.ranks[index_of(it)].target = std::chrono::seconds(1);
        settings.ranks[index_of(it)].guaranteed_share = 0.3;
    }
    for (std::size_t n = 0; n < model_pools; ++n)
        settings.pools[model_pool(n)] =
            pool_of(model_pool(n), runner_kind::engine, runners_per_model_pool);
    for (std::size_t n = 0; n < service_pools; ++n)
        settings.pools[service_pool(n)] = pool_of(
            service_pool(n), runner_kind::service, runners_per_service_pool);
    for (std::size_t n = 0; n < target_pipelines; ++n)
    {
        auto const pipeline = pipeline_of(n);
        settings.pipelines[pipeline.name] = pipeline;
    }
    for (std::size_t n = 0; n < organisations; ++n)
    {
        organisation_settings organisation;
        organisation.name = organisation_name(n);
        organisation.key_sha256 = key_digest;
        settings.organisations[organisation.name] = organisation;
    }
    return settings;
}

target_vm::target_vm(fleet_size size)
    : size_(size), settings_(target_settings()), reducer_(own_settings())
{
    post(ticked{wall_});
    load_settings_texts();
    post(everything(settings_));
    post(vm_list());
    connect_peers();
    advance(std::chrono::seconds(12)); // runners have warmed up
}

// Answers the first list with one page of all organisations.
void target_vm::load_settings_texts()
{
    advance(std::chrono::seconds(1));
    config::list_answer page;
    page.token = settings_call;
    for (std::size_t n = 0; n < target_organisations; ++n)
    {
        config::settings_object object;
        object.path = absl::StrCat("settings/organisations/",
                                   organisation_name(n), "/limits");
        object.version = ++version_;
        object.value = absl::StrCat("key_sha256 = \"", key_digest, "\"\n");
        page.items.push_back(std::move(object));
    }
    page.revision = version_;
    post(page);
    post(ticked{wall_});
}

void target_vm::connect_peers()
{
    auto const all = peers_;
    for (std::size_t n = 0; n < all.size(); ++n)
    {
        peer_link_changed change;
        change.peer = all[n];
        change.incarnation = n + 2;
        post(change);
    }
}

vm_list_read target_vm::vm_list(bool one_leaves) const
{
    vm_list_read list;
    auto const entries = size_ == fleet_size::alone ? 1 : target_vms;
    for (std::size_t n = 0; n < entries; ++n)
    {
        fleet::listed_vm vm;
        vm.name = absl::StrCat("vm-", n);
        vm.address = "127.0.0.1:8000";
        vm.peer_address = "127.0.0.1:8001";
        vm.failure_domain = domain_name(n);
        list.vms.push_back(vm);
    }
    for (auto const& pool : settings_.pools)
    {
        for (auto const& runner : pool.second.runners)
        {
            fleet::listed_vm vm;
            vm.name = runner.name;
            vm.failure_domain = runner.failure_domain;
            vm.role = fleet::member_role::runner;
            vm.leaving = std::exchange(one_leaves, false);
            list.vms.push_back(vm);
        }
    }
    return list;
}

double target_vm::timed(event const& value)
{
    using clock = std::chrono::steady_clock;
    auto const start = clock::now();
    effects out;
    reducer_.reduce(value, now_, out);
    auto const end = clock::now();
    collect(out);
    return std::chrono::duration<double>(end - start).count();
}

void target_vm::post(event const& value)
{
    effects out;
    reducer_.reduce(value, now_, out);
    collect(out);
}

void target_vm::advance(duration length)
{
    auto const end = now_ + length;
    while (now_ < end)
    {
        now_ += tick;
        wall_ += tick;
        post(ticked{wall_});
    }
}

void target_vm::collect(effects& out)
{
    for (auto& it : out)
    {
        if (auto* const attempt = std::get_if<requests::start_attempt>(&it))
            attempts.push_back(std::move(*attempt));
        else if (auto* const read = std::get_if<bookings::read_object>(&it))
        {
            bookings::store_answer answer;
            answer.token = read->token;
            answer.status = bookings::store_status::absent;
            store_calls.emplace_back(answer);
        }
        else if (auto* const write = std::get_if<bookings::write_object>(&it))
        {
            bookings::store_answer answer;
            answer.token = write->token;
            answer.status = bookings::store_status::ok;
            answer.version = ++version_;
            store_calls.emplace_back(answer);
        }
        else if (auto* const list = std::get_if<config::list_objects>(&it))
            settings_call = list->token;
        else if (auto* const watch = std::get_if<config::watch_objects>(&it))
            settings_call = watch->token;
        else if (auto* const targets = std::get_if<set_peer_targets>(&it))
        {
            peers_.clear();
            for (auto const& one : targets->peers)
            {
                if (one.link)
                    peers_.push_back(one.vm);
            }
        }
        else if (auto* const send = std::get_if<send_peer>(&it))
        {
            if (auto* const update =
                    std::get_if<bookings::shard_update>(&send->payload))
                forwarded.push_back(std::move(*update));
        }
    }
}

void target_vm::settle()
{
    while (!store_calls.empty())
    {
        auto const calls = std::exchange(store_calls, {});
        for (auto const& it : calls)
            post(it);
    }
}

requests::request_received target_vm::next_request()
{
    // Steps that are coprime to the sizes visit all pipelines and spread
    // over the organisations.
    constexpr std::size_t organisation_step = 7919;
    auto const n = ++next_request_;
    requests::request_received event;
    event.request = {1, n};
    event.call.pipeline =
        absl::StrCat("pipeline-", 1 + n % (target_pipelines - 1));
    event.call.organisation =
        organisation_name(n * organisation_step % target_organisations);
    event.call.key_sha256 = key_digest;
    event.call.work_rank = all_ranks[n % rank_count];
    event.call.deadline = std::chrono::seconds(3);
    event.call.input = absl::StrCat("{\"question\":", n, "}");
    event.received_at = wall_;
    return event;
}

requests::request_received target_vm::next_booking()
{
    auto event = next_request();
    event.call.pipeline = "pipeline-0";
    event.call.idempotency_key =
        absl::StrCat("booking-", event.request.counter);
    event.call.issued_at = wall_;
    return event;
}

requests::attempt_ended
target_vm::completion(requests::start_attempt const& attempt)
{
    requests::attempt_ended event;
    event.call = attempt.attempt;
    event.answered_attempt = attempt.attempt;
    event.result = requests::attempt_outcome::completed;
    event.output = "{\"text\":\"done\"}";
    event.took = milliseconds(20);
    return event;
}

requests::start_attempt target_vm::take_attempt()
{
    auto first = std::move(attempts.front());
    attempts.erase(attempts.begin());
    return first;
}

void target_vm::drain_requests()
{
    while (!attempts.empty() || !store_calls.empty())
    {
        settle();
        if (!attempts.empty())
            post(completion(take_attempt()));
    }
}

} // namespace buckthornvale::bench
