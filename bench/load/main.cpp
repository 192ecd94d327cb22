// Sends a planned load to entry VMs and reports attainment, outcomes and
// quantiles. Open loop: requests start at their planned times. Closed loop
// (--rate 0): each worker sends its next request after the last response.

#include "report.hpp"
#include "workload.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <gflags/gflags.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <fstream>
#include <iostream>
#include <thread>
#include <vector>

DEFINE_string(targets, "", "host:port of each entry VM, separated by commas");
DEFINE_double(rate, 10., "requests/s over all targets; 0: closed loop");
DEFINE_uint32(workers, 64, "requests at once at most; closed loop: always");
DEFINE_double(seconds, 10., "time during which requests start");
DEFINE_uint64(seed, 1, "seed of the planned requests");
DEFINE_string(pipelines, "answer", "mix, name:weight separated by commas");
DEFINE_string(booking_pipeline, "booking", "pipeline of the bookings");
DEFINE_double(booking_share, 0., "fraction of requests that are bookings");
DEFINE_string(ranks, "urgent:0.2,standard:0.5,background:0.3",
              "mix of ranks, name:weight separated by commas");
DEFINE_string(target_ms, "urgent:800,standard:2000,background:3000",
              "latency target of each rank in ms");
DEFINE_uint32(organisations, 1,
              "organisations org-1 to org-N with the keys <name>-key");
DEFINE_uint32(deadline_ms, 3000, "deadline of each request");
DEFINE_string(json, "", "file to write the report to as JSON");

namespace
{

using namespace buckthornvale::bench::load;
using steady = std::chrono::steady_clock;

constexpr unsigned most_workers = 512;

// A response can come a little after its deadline.
constexpr std::chrono::seconds response_slack{5};

struct target
{
    std::string host;
    int port = 0;
};

std::vector<target> parse_targets(std::string const& text)
{
    std::vector<target> targets;
    std::vector<std::string> const parts =
        absl::StrSplit(text, ',', absl::SkipEmpty());
    for (auto const& it : parts)
    {
        std::vector<std::string> const fields = absl::StrSplit(it, ':');
        target one;
        if (fields.size() != 2 || !absl::SimpleAtoi(fields[1], &one.port))
            return {};
        one.host = fields[0];
        targets.push_back(one);
    }
    return targets;
}

std::string body_of(planned_request const& request, std::size_t number,
                    std::string const& rank)
{
    nlohmann::json body = {{"organisation", request.organisation},
                           {"rank", rank},
                           {"deadline_ms", FLAGS_deadline_ms},
                           {"input", {{"question", number}}}};
    if (request.is_booking)
    {
        auto const now = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
        body["issued_at_ms"] = now.count();
        body["idempotency_key"] =
            absl::StrCat(FLAGS_seed, "-", now.count(), "-", number);
    }
    return body.dump();
}

void read_response(httplib::Result const& response, request_result& result)
{
    if (!response)
    {
        result.outcome = "none";
        result.error = httplib::to_string(response.error());
        return;
    }
    result.status = response->status;
    auto const body = nlohmann::json::parse(response->body, nullptr, false);
    bool const is_object = body.is_object();
    result.outcome = is_object ? body.value("outcome", "none") : "none";
    if (is_object && body.contains("error"))
        result.error = body["error"].value("kind", "unnamed");
}

//! Runs the plan on worker threads.
class sender
{
public:
    sender(std::vector<planned_request> requests, std::vector<target> targets,
           std::vector<weighted_name> ranks, report& results)
        : requests_(std::move(requests)), targets_(std::move(targets)),
          ranks_(std::move(ranks)), results_(results)
    {
    }

    void run(unsigned workers)
    {
        start_ = steady::now();
        std::vector<std::thread> threads;
        threads.reserve(workers);
        for (unsigned n = 0; n < workers; ++n)
            threads.emplace_back([this] { work(); });
        for (auto& it : threads)
            it.join();
    }

private:
    void work()
    {
        auto const end =
            start_ + std::chrono::duration_cast<steady::duration>(
                         std::chrono::duration<double>(FLAGS_seconds));
        for (auto n = next_++; n < requests_.size(); n = next_++)
        {
            bool const is_open = FLAGS_rate > 0.;
            if (!is_open && steady::now() >= end)
                return;
            auto const due = start_ + requests_[n].due;
            if (is_open)
                std::this_thread::sleep_until(due);
            send(n, is_open ? due : steady::now());
        }
    }

    // Each request has its own connection, as an idle kept-alive one would
    // hold a thread of the VM.
    void send(std::size_t n, steady::time_point due)
    {
        auto const& request = requests_[n];
        auto const& to = targets_[request.target];
        httplib::Client client(to.host, to.port);
        client.set_tcp_nodelay(true);
        auto const deadline = std::chrono::milliseconds(FLAGS_deadline_ms);
        client.set_read_timeout(deadline + response_slack);
        httplib::Headers const headers = {
            {"Authorization",
             absl::StrCat("Bearer ", request.organisation, "-key")}};
        auto const response = client.Post(
            absl::StrCat("/v1/pipelines/", request.pipeline, "/requests"),
            headers, body_of(request, n, ranks_[request.rank].name),
            "application/json");
        request_result result;
        result.rank = request.rank;
        result.is_booking = request.is_booking;
        result.took = steady::now() - due;
        read_response(response, result);
        results_.add(result);
    }

    std::vector<planned_request> requests_;
    std::vector<target> targets_;
    std::vector<weighted_name> ranks_;
    report& results_;
    steady::time_point start_;
    std::atomic<std::size_t> next_{0};
};

std::vector<rank_target> rank_targets(std::vector<weighted_name> const& ranks)
{
    auto const targets = parse_mix(FLAGS_target_ms);
    std::vector<rank_target> result;
    for (auto const& rank : ranks)
    {
        auto const it = std::find_if(targets.begin(), targets.end(),
                                     [&](auto const& one)
                                     { return one.name == rank.name; });
        result.push_back({rank.name, it == targets.end() ? 0. : it->weight});
    }
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("sends a planned load to entry VMs");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto const targets = parse_targets(FLAGS_targets);
    workload_settings settings;
    settings.seed = FLAGS_seed;
    settings.rate = FLAGS_rate;
    settings.seconds = FLAGS_seconds;
    settings.pipelines = parse_mix(FLAGS_pipelines);
    settings.ranks = parse_mix(FLAGS_ranks);
    settings.booking_pipeline = FLAGS_booking_pipeline;
    settings.booking_share = FLAGS_booking_share;
    settings.organisations = std::max(FLAGS_organisations, 1U);
    settings.targets = targets.size();
    if (targets.empty() || settings.pipelines.empty() || settings.ranks.empty())
    {
        std::cerr << "--targets, --pipelines and --ranks need at least one "
                     "well-formed entry each\n";
        return 2;
    }
    report results(rank_targets(settings.ranks));
    auto const started = steady::now();
    sender sending(plan(settings), targets, settings.ranks, results);
    sending.run(std::clamp(FLAGS_workers, 1U, most_workers));
    auto const body = results.to_json(
        std::chrono::duration<double>(steady::now() - started).count());
    std::cout << to_text(body);
    if (!FLAGS_json.empty())
        std::ofstream(FLAGS_json) << body.dump(2) << '\n';
    return 0;
}
