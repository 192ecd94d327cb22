#include "report.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <utility>

namespace buckthornvale::bench::load
{

namespace
{

// Bounds of the latency histogram, ms, and its bins: 3% per bin.
constexpr double least_ms = 0.1;
constexpr double most_ms = 100'000.;
constexpr unsigned bins = 460;

// Upper edge of the bin that holds the quantile; 0 without values.
template <class Histogram>
double quantile(Histogram const& values, double fraction)
{
    double all = 0.;
    for (auto&& it :
         boost::histogram::indexed(values, boost::histogram::coverage::all))
        all += *it;
    double seen = 0.;
    for (auto&& it :
         boost::histogram::indexed(values, boost::histogram::coverage::all))
    {
        seen += *it;
        if (all > 0. && seen >= fraction * all)
            return it.bin().upper();
    }
    return 0.;
}

} // namespace

report::report(std::vector<rank_target> ranks)
{
    for (auto& it : ranks)
    {
        rank_sums sums;
        sums.target = std::move(it);
        sums.completed_ms =
            boost::histogram::make_histogram(axis(bins, least_ms, most_ms));
        ranks_.push_back(std::move(sums));
    }
}

void report::add(request_result const& result)
{
    std::lock_guard const lock(mutex_);
    auto& sums = ranks_[result.rank];
    ++sums.sent;
    bookings_ += result.is_booking ? 1 : 0;
    ++sums.outcomes[result.outcome];
    ++statuses_[std::to_string(result.status)];
    if (!result.error.empty())
        ++errors_[result.error];
    if (result.outcome != "completed")
        return;
    auto const ms =
        std::chrono::duration<double, std::milli>(result.took).count();
    sums.completed_ms(ms);
    if (ms <= sums.target.target_ms)
        ++sums.within_target;
}

nlohmann::json report::to_json(rank_sums const& sums)
{
    auto const sent = static_cast<double>(sums.sent);
    auto const within = static_cast<double>(sums.within_target);
    return {{"sent", sums.sent},
            {"target_ms", sums.target.target_ms},
            {"attainment", sums.sent == 0 ? 0. : within / sent},
            {"outcomes", sums.outcomes},
            {"p50_ms", quantile(sums.completed_ms, 0.5)},
            {"p95_ms", quantile(sums.completed_ms, 0.95)},
            {"p99_ms", quantile(sums.completed_ms, 0.99)}};
}

nlohmann::json report::to_json(double seconds) const
{
    std::lock_guard const lock(mutex_);
    nlohmann::json body = {{"seconds", seconds},
                           {"bookings", bookings_},
                           {"errors", errors_},
                           {"statuses", statuses_},
                           {"ranks", nlohmann::json::object()}};
    std::uint64_t sent = 0;
    for (auto const& it : ranks_)
    {
        sent += it.sent;
        body["ranks"][it.target.name] = to_json(it);
    }
    body["sent"] = sent;
    return body;
}

std::string to_text(nlohmann::json const& report)
{
    std::string text = absl::StrFormat("sent %d in %.1f s\n",
                                       report["sent"].get<std::uint64_t>(),
                                       report["seconds"].get<double>());
    for (auto const& it : report["ranks"].items())
    {
        auto const& rank = it.value();
        absl::StrAppendFormat(
            &text,
            "%-10s sent %6d  attainment %6.4f  p50 %8.1f ms  p95 %8.1f ms"
            "  p99 %8.1f ms  %s\n",
            it.key(), rank["sent"].get<std::uint64_t>(),
            rank["attainment"].get<double>(), rank["p50_ms"].get<double>(),
            rank["p95_ms"].get<double>(), rank["p99_ms"].get<double>(),
            rank["outcomes"].dump());
    }
    absl::StrAppend(&text, "errors ", report["errors"].dump(), " statuses ",
                    report["statuses"].dump(), "\n");
    return text;
}

} // namespace buckthornvale::bench::load
