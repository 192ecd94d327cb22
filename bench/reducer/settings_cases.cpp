// Settings at target size: reducer steps that install or list settings, and
// time and memory per organisation of the typed settings and of their texts.

#include "target_vm.hpp"
#include <buckthornvale/settings/fleet/settings_set.hpp>

#include <absl/strings/str_cat.h>
#include <benchmark/benchmark.h>

#include <algorithm>
#include <malloc.h>
#include <memory>
#include <string>
#include <vector>

namespace
{

using namespace buckthornvale;
using namespace buckthornvale::decision;
using bench::fleet_size;
using bench::target_organisations;
using bench::target_vm;
using requests::settings_kind;

constexpr int steps = 200;

std::string path_of(std::size_t n)
{
    return absl::StrCat("settings/organisations/org-", n, "/limits");
}

std::string organisation_text(std::size_t weight)
{
    return absl::StrCat("key_sha256 = \"", std::string(64, 'a'),
                        "\"\nweight = ", weight,
                        "\nrequests_per_second = 20\nconcurrent = 10\n");
}

std::size_t heap_bytes()
{
    return mallinfo2().uordblks;
}

target_vm& vm()
{
    static target_vm one(fleet_size::target);
    return one;
}

void install(benchmark::State& state, settings_kind kind,
             std::string const& name)
{
    while (state.KeepRunning())
    {
        requests::settings_installed installed;
        installed.settings = &vm().settings();
        installed.changes = {{kind, name}};
        state.SetIterationTime(vm().timed(installed));
        vm().advance(std::chrono::milliseconds(10));
    }
}

void install_organisation(benchmark::State& state)
{
    install(state, settings_kind::organisation, "org-100");
}

void install_pipeline(benchmark::State& state)
{
    install(state, settings_kind::pipeline, "pipeline-3");
}

void install_pool(benchmark::State& state)
{
    install(state, settings_kind::pool, "models-3");
}

void watch_answer_one_change(benchmark::State& state)
{
    std::uint64_t revision = 2 * target_organisations;
    while (state.KeepRunning())
    {
        // The watch is armed again in the step of the last answer.
        config::watch_answer answer;
        answer.token = vm().settings_call;
        answer.revision = ++revision;
        answer.events = {
            {path_of(100), revision, false, organisation_text(revision)}};
        state.SetIterationTime(vm().timed(answer));
        vm().advance(std::chrono::milliseconds(10));
    }
    if (vm().reducer().status().settings_revision != revision)
        state.SkipWithError("the changes were not taken");
}

void peer_settings_have(benchmark::State& state)
{
    while (state.KeepRunning())
    {
        peer_received const event{vm().peers().front(),
                                  config::revision_announcement{1, true}};
        state.SetIterationTime(vm().timed(event));
        vm().advance(std::chrono::milliseconds(10));
    }
}

void peer_settings_pull_page(benchmark::State& state)
{
    while (state.KeepRunning())
    {
        peer_received const event{vm().peers().front(),
                                  config::settings_pull{0, 0}};
        state.SetIterationTime(vm().timed(event));
        vm().advance(std::chrono::milliseconds(10));
    }
}

// Typed settings of all organisations: bytes and time per organisation.
void typed_settings(benchmark::State& state)
{
    auto const count = static_cast<std::size_t>(state.range(0));
    auto const text = organisation_text(1);
    double bytes = 0.;
    while (state.KeepRunning())
    {
        auto const before = heap_bytes();
        auto set = std::make_unique<settings::settings_set>();
        for (std::size_t n = 0; n < count; ++n)
            set->put(path_of(n), n + 1, text);
        bytes = static_cast<double>(heap_bytes() - before);
    }
    auto const all = static_cast<double>(count);
    state.counters["bytes_per_organisation"] = bytes / all;
    state.counters["time_per_organisation"] =
        benchmark::Counter(all, benchmark::Counter::kIsIterationInvariantRate |
                                    benchmark::Counter::kInvert);
}

// Texts and versions of all organisations in the replicated state.
void replicated_settings(benchmark::State& state)
{
    auto const count = static_cast<std::size_t>(state.range(0));
    double bytes = 0.;
    while (state.KeepRunning())
    {
        auto const before = heap_bytes();
        config::settings_state held({}, 1);
        config::config_effects out;
        time_point now{};
        config::call_token token = 0;
        while (token == 0)
        {
            now += std::chrono::milliseconds(10);
            held.tick(now, out);
            for (auto const& it : out)
            {
                if (auto const* list = std::get_if<config::list_objects>(&it))
                    token = list->token;
            }
            out.clear();
        }
        {
            config::list_answer page;
            page.token = token;
            page.revision = count;
            for (std::size_t n = 0; n < count; ++n)
                page.items.push_back(
                    {path_of(n), n + 1, false, organisation_text(1)});
            held.list_page(page, now, out);
        }
        out.clear();
        out.shrink_to_fit();
        bytes = static_cast<double>(heap_bytes() - before);
    }
    auto const all = static_cast<double>(count);
    state.counters["bytes_per_organisation"] = bytes / all;
    state.counters["time_per_organisation"] =
        benchmark::Counter(all, benchmark::Counter::kIsIterationInvariantRate |
                                    benchmark::Counter::kInvert);
}

#define SETTINGS_STEP(name)                                                    \
    BENCHMARK(name)->UseManualTime()->Iterations(steps)->Unit(                 \
        benchmark::kMicrosecond)

SETTINGS_STEP(install_organisation);
SETTINGS_STEP(install_pipeline);
SETTINGS_STEP(install_pool);
SETTINGS_STEP(watch_answer_one_change);
SETTINGS_STEP(peer_settings_have);
SETTINGS_STEP(peer_settings_pull_page);
BENCHMARK(typed_settings)
    ->Arg(1000)
    ->Arg(target_organisations)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(replicated_settings)
    ->Arg(1000)
    ->Arg(target_organisations)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

} // namespace
