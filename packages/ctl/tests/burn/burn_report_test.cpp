#include "ctl_fixture.hpp"
#include <buckthornvale/ctl/burn/burn_report.hpp>

#include <absl/strings/str_format.h>

namespace buckthornvale::ctl
{
namespace
{

using namespace std::chrono_literals;

// Metrics of a VM that has served `n` requests of each rank. Every tenth urgent
// request missed its target.
std::string metrics(int n)
{
    std::string text = "# TYPE buckthornvale_requests_total counter\n"
                       "process_cpu_seconds_total 12\n";
    for (auto const* name : {"urgent", "standard", "background"})
    {
        auto const labels =
            absl::StrFormat("rank=\"%s\",pipeline=\"price\"", name);
        auto const missed = name[0] == 'u' ? n / 10 : 0;
        absl::StrAppendFormat(
            &text,
            "buckthornvale_requests_total{%s,organisation=\"a \\\"b\\\" "
            "<c>\",outcome=\"completed\"} %d\n"
            "buckthornvale_requests_in_target_total{%s,organisation=\"a "
            "\\\"b\\\" <c>\"} %d 1764800000\n"
            "buckthornvale_request_seconds_bucket{%s,le=\"0.2\"} %d\n"
            "buckthornvale_request_seconds_bucket{%s,le=\"+Inf\"} %d\n"
            "buckthornvale_stage_seconds_total{pipeline=\"price\","
            "stage=\"lookup\",rank=\"%s\"} %d.5e0\n",
            labels, n, labels, n - missed, labels, n, labels, n, name, n);
    }
    return text + "buckthornvale_wasted_stage_seconds_total{"
                  "pipeline=\"price\",stage=\"lookup\"} 1\nbroken{ 3\n";
}

struct burn_test : ctl_test
{
    burn_test()
    {
        for (auto const& [name, text] : sample_settings)
            objects.put(name.substr(0, name.size() - 5), 0, text);
        flags.record_file = (folder / "record.jsonl").string();
        flags.samples = 4;
        flags.interval = 120s;
        set_counts(100, 100);
        on_sleep = [this]
        {
            ++sample;
            set_counts(100 + 100 * sample, 100 + 100 * sample);
        };
    }

    void set_counts(int first, int second)
    {
        vms.answers["vm-1:80/metrics"] = metrics(first);
        vms.answers["vm-2:80/metrics"] = metrics(second);
    }

    int sample = 0;
};

snapshot snapshot_of(std::int64_t at_s,
                     std::map<std::string, double> const& counts)
{
    snapshot value;
    value.at_ms = at_s * 1000;
    for (auto const& [vm, count] : counts)
        value.vms[vm][series{"c", {}}] = count;
    return value;
}

// Guards against unintended changes of the output. The expected burn is 100:
// with 600 requests per rank, a tenth of the urgent ones missed their target,
// and the urgent objective is 0.999.
TEST_F(burn_test, report_and_rules_match_the_golden_files)
{
    EXPECT_EQ(run({"report", "burn"}), exit_code::success);
    expect_golden("burn.txt", take_output());
    flags.prints_rules = true;
    EXPECT_EQ(run({"report", "burn"}), exit_code::success);
    expect_golden("burn_rules.txt", take_output());
}

// Guards against a report from a recorded file that still asks the VMs, and
// against a truncated last line that makes the whole file unreadable.
TEST_F(burn_test, computes_again_from_the_recorded_file)
{
    run({"report", "burn"});
    auto const live = out.str();
    take_output();
    std::ofstream(flags.record_file, std::ios::app) << "{\"at_ms\": 17648";
    flags.from_file = flags.record_file;
    vms.answers.clear();
    EXPECT_EQ(run({"report", "burn"}), exit_code::success);
    EXPECT_EQ(out.str(), live);
}

// Guards against a page that loads external resources, and against names that
// are inserted as unescaped markup.
TEST_F(burn_test, writes_one_self_contained_page)
{
    flags.html_file = (folder / "burn.html").string();
    EXPECT_EQ(run({"report", "burn"}), exit_code::success);
    std::ifstream input(flags.html_file);
    std::ostringstream text;
    text << input.rdbuf();
    auto const page = text.str();
    std::size_t plots = 0;
    for (auto at = page.find("<svg"); at != std::string::npos;
         at = page.find("<svg", at + 1))
        ++plots;
    EXPECT_EQ(plots, 4U);
    for (auto const* it : {"http:", "https:", "src=", "<script", "<c>", "nan"})
        EXPECT_EQ(page.find(it), std::string::npos) << it;
    EXPECT_NE(page.find("a &quot;b&quot; &lt;c&gt;"), std::string::npos);
}

// Guards against a burn that is distorted by restarts, by VMs that appear late
// and by gaps between snapshots.
TEST(intervals_of, handles_restarts_late_vms_and_gaps)
{
    auto const steps = intervals_of({snapshot_of(0, {{"a", 100.}}),
                                     snapshot_of(10, {{"a", 110.}, {"b", 5.}}),
                                     snapshot_of(20, {{"a", 3.}}),
                                     snapshot_of(30, {{"a", 4.}, {"b", 9.}})});
    ASSERT_EQ(steps.size(), 3U);
    EXPECT_EQ(steps[0].increases.at(series{"c", {}}), 15.);
    EXPECT_EQ(steps[1].increases.at(series{"c", {}}), 3.);
    EXPECT_EQ(steps[2].increases.at(series{"c", {}}), 5.);
}

// Guards against a short window that includes older intervals.
TEST(burn_report, uses_only_the_intervals_of_a_window)
{
    std::vector<snapshot> snapshots;
    for (int i = 0; i <= 10; ++i)
    {
        snapshot value;
        value.at_ms = i * 60'000;
        // Requests of the last two minutes all miss the target.
        value.vms["a"] = parse_prometheus(
            absl::StrFormat(
                "buckthornvale_requests_total{rank=\"standard\"} %d\n"
                "buckthornvale_requests_in_target_total{rank=\"standard\"} "
                "%d\n",
                10 * i, 10 * std::min(i, 8)),
            "buckthornvale_");
        snapshots.push_back(std::move(value));
    }
    auto const report = make_burn_report(snapshots, {}, {120s, 600s, 3600s}, 5);
    ASSERT_EQ(report.by_rank.size(), 1U);
    auto const& windows = report.by_rank[0].windows;
    EXPECT_NEAR(*windows[0].burn(0.99), 100., 1e-9);
    EXPECT_NEAR(*windows[1].burn(0.99), 20., 1e-9);
    EXPECT_EQ(report.windows[1].covered, 600s);
    EXPECT_EQ(report.windows[2].covered, 600s);
    EXPECT_FALSE(attainment{}.burn(0.99));
}

} // namespace
} // namespace buckthornvale::ctl
