#include "workload.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <pcg_random.hpp>

#include <cmath>
#include <random>

namespace buckthornvale::bench::load
{

namespace
{

std::discrete_distribution<std::size_t>
pick_from(std::vector<weighted_name> const& mix)
{
    std::vector<double> weights;
    weights.reserve(mix.size());
    for (auto const& it : mix)
        weights.push_back(it.weight);
    return {weights.begin(), weights.end()};
}

} // namespace

std::vector<weighted_name> parse_mix(std::string const& text)
{
    std::vector<weighted_name> mix;
    std::vector<std::string> const parts =
        absl::StrSplit(text, ',', absl::SkipEmpty());
    for (auto const& it : parts)
    {
        std::vector<std::string> const fields = absl::StrSplit(it, ':');
        weighted_name one{fields.front(), 1.};
        bool const is_weight_good =
            fields.size() == 1 ||
            (fields.size() == 2 && absl::SimpleAtod(fields[1], &one.weight));
        if (!is_weight_good || one.weight <= 0.)
            return {};
        mix.push_back(one);
    }
    return mix;
}

std::vector<planned_request> plan(workload_settings const& settings)
{
    pcg64 random(settings.seed);
    auto pipeline = pick_from(settings.pipelines);
    auto rank = pick_from(settings.ranks);
    std::uniform_real_distribution<double> uniform;
    std::uniform_int_distribution<std::size_t> target(0, settings.targets - 1);
    bool const is_open = settings.rate > 0.;
    std::exponential_distribution<double> gap(is_open ? settings.rate : 1.);

    std::vector<planned_request> requests;
    double due = 0.;
    while (requests.size() < settings.max_requests)
    {
        due += is_open ? gap(random) : 0.;
        if (due >= settings.seconds)
            break;
        planned_request one;
        one.due =
            std::chrono::nanoseconds(static_cast<std::int64_t>(due * 1e9));
        one.is_booking = uniform(random) < settings.booking_share;
        one.pipeline = one.is_booking
                           ? settings.booking_pipeline
                           : settings.pipelines[pipeline(random)].name;
        // A few of the organisations send most of the requests.
        auto const place = std::pow(static_cast<double>(settings.organisations),
                                    uniform(random));
        one.organisation =
            absl::StrCat("org-", static_cast<std::uint64_t>(place));
        one.rank = rank(random);
        one.target = target(random);
        requests.push_back(one);
    }
    return requests;
}

} // namespace buckthornvale::bench::load
