#include <buckthornvale/ctl/burn/burn_report.hpp>
#include <buckthornvale/decision/core/text.hpp>

#include <absl/strings/str_format.h>

#include <algorithm>

namespace buckthornvale::ctl
{

namespace
{

// The error budget covers 30 days.
constexpr double budget_period_s = 30. * 86'400.;

// Share of the error budget that is consumed when a rule fires, by the index
// of its long window. With windows of 5 m, 1 h, 6 h and 72 h this yields the
// customary burn-rate thresholds 14.4, 6 and 1.
constexpr std::array<double, 3> budget_shares = {0.02, 0.05, 0.1};

std::string burn_expression(std::string_view work_rank, double objective,
                            decision::duration window)
{
    auto const name = window_name(window);
    auto const labels = absl::StrFormat("{rank=\"%s\"}[%s]",
                                        decision::as_absl(work_rank), name);
    return absl::StrFormat(
        "(1 - sum(rate(buckthornvale_requests_in_target_total%s)) / "
        "sum(rate(buckthornvale_requests_total%s))) / %.6g",
        labels, labels, 1. - objective);
}

void append_rule(std::string& out, rank work_rank, double objective,
                 decision::duration long_window,
                 decision::duration short_window, double share)
{
    auto const name = decision::name_of(work_rank);
    auto const threshold =
        share * budget_period_s / decision::to_seconds(long_window);
    // Pages for the faster burn rates, except for background requests; all
    // other rules open a ticket.
    bool const is_page =
        work_rank != rank::background && share < budget_shares.back();
    absl::StrAppendFormat(
        &out,
        "      - alert: buckthornvale_%s_burn_%s\n"
        "        expr: |\n"
        "          %s > %.4g\n"
        "          and\n"
        "          %s > %.4g\n"
        "        labels:\n"
        "          severity: %s\n"
        "          rank: %s\n"
        "        annotations:\n"
        "          summary: \"%s requests use up the error budget %.4g times "
        "too fast over %s and %s\"\n",
        decision::as_absl(name), window_name(long_window),
        burn_expression(name, objective, long_window), threshold,
        burn_expression(name, objective, short_window), threshold,
        is_page ? "page" : "ticket", decision::as_absl(name),
        decision::as_absl(name), threshold, window_name(long_window),
        window_name(short_window));
}

} // namespace

std::string burn_rules(decision::rank_table const& ranks,
                       std::vector<decision::duration> const& windows)
{
    std::string out = "groups:\n"
                      "  - name: buckthornvale_burn\n"
                      "    rules:\n";
    for (auto it : decision::all_ranks)
    {
        for (std::size_t i = 1; i < windows.size(); ++i)
        {
            auto const share =
                budget_shares[std::min(i - 1, budget_shares.size() - 1)];
            append_rule(out, it, ranks[decision::index_of(it)].objective,
                        windows[i], windows[i - 1], share);
        }
    }
    return out;
}

} // namespace buckthornvale::ctl
