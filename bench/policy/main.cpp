//! Compares admission policies on a queueing model in virtual time.

#include "report.hpp"
#include "scenario.hpp"
#include "simulation.hpp"
#include <buckthornvale/decision/admission/ordering_policy.hpp>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <iostream>

DEFINE_bool(json, false, "print one JSON document instead of tables");
DEFINE_uint64(seed, 1, "seed of the arrivals");
DEFINE_string(policy, "", "run only the policy of this name");
DEFINE_string(scenario, "", "run only this scenario, and the normal load");
DEFINE_double(speed_spread, 4.0, "fastest over slowest runner of a pool");
DEFINE_bool(runner_priority, false, "runners serve their queues by rank");
DEFINE_double(runner_queueing, 0.15,
              "queueing at the runners that the backlog bound allows, seconds");

DEFINE_double(queue_slack_part, 0.5, "see admission_settings");
DEFINE_uint64(summary_organisations, 32, "see admission_settings");
DEFINE_uint64(vms, 7, "entry VMs");
DEFINE_bool(summaries, true, "peers exchange demand summaries");
DEFINE_double(heavy_part, 1.0, "see admission_settings");

namespace
{

using namespace buckthornvale::bench;

std::vector<policy> make_policies()
{
    namespace admission = buckthornvale::decision::admission;
    std::vector<policy> out;
    out.reserve(admission::all_orderings.size() + 3);
    for (auto it : admission::all_orderings)
        out.push_back({std::string(name_of(it)), it, gate_kind::none, 0.0});
    out.push_back(
        {"level_feedback", admission::ordering::fifo, gate_kind::level, 0.0});
    out.push_back(
        {"queue_ageing", admission::ordering::fifo, gate_kind::ageing, 0.0});
    // About ten requests of an organisation that comes through seven VMs.
    out.push_back(
        {"round_robin", admission::ordering::combined, gate_kind::none, 0.5});
    return out;
}

bool selected(std::string const& flag, std::string const& name)
{
    return flag.empty() || flag == name;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("compares admission policies in virtual time");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    bench_options options;
    options.seed = FLAGS_seed;
    options.speed_spread = FLAGS_speed_spread;
    options.runner_priority = FLAGS_runner_priority;
    options.runner_queueing = FLAGS_runner_queueing;
    options.queue_slack_part = FLAGS_queue_slack_part;
    options.summary_organisations = FLAGS_summary_organisations;
    options.summaries = FLAGS_summaries;
    options.heavy_part = FLAGS_heavy_part;
    auto const policies = make_policies();
    nlohmann::json document;
    for (auto const& shape : {make_deployment("waikato", 20, FLAGS_vms),
                              make_deployment("sahel", 10, FLAGS_vms)})
    {
        std::vector<figures> normal(policies.size());
        for (auto const& load : make_scenarios(shape))
        {
            bool const is_normal = load.name == "normal";
            if (!is_normal && !selected(FLAGS_scenario, load.name))
                continue;
            if (!FLAGS_json)
                std::cout << table_heading(shape, load);
            for (std::size_t n = 0; n < policies.size(); ++n)
            {
                if (!selected(FLAGS_policy, policies[n].name))
                    continue;
                auto const result = run(shape, load, policies[n], options);
                auto const it = summarise(shape, load, result,
                                          is_normal ? nullptr : &normal[n]);
                if (is_normal)
                    normal[n] = it;
                auto const checks = check_targets(load, it, normal[n]);
                if (FLAGS_json)
                    document[shape.name][load.name][policies[n].name] =
                        to_json(it, checks);
                else
                    std::cout << table_line(policies[n], it, checks)
                              << std::flush;
            }
        }
    }
    if (FLAGS_json)
        std::cout << document.dump(2) << "\n";
    return 0;
}
