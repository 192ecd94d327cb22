#include <buckthornvale/decision/routing/baseline_strategies.hpp>
#include <buckthornvale/decision/routing/choice_strategy.hpp>
#include <buckthornvale/decision/routing/expected_completion.hpp>

#include <array>

namespace buckthornvale::decision::routing
{

namespace
{

constexpr std::array<std::string_view, strategy_count> names = {
    "expected_completion", "random",   "round_robin", "least_request",
    "two_choices",         "hot_cold", "bounded_hash"};

} // namespace

std::string_view name_of(strategy_kind kind)
{
    return names[static_cast<std::size_t>(kind)];
}

std::unique_ptr<choice_strategy> make_strategy(strategy_kind kind,
                                               routing_settings const& settings)
{
    switch (kind)
    {
    case strategy_kind::random:
        return std::make_unique<random_choice>();
    case strategy_kind::round_robin:
        return std::make_unique<round_robin>();
    case strategy_kind::least_request:
        return std::make_unique<least_request>();
    case strategy_kind::two_choices:
        return std::make_unique<two_choices>();
    case strategy_kind::hot_cold:
        return std::make_unique<hot_cold>();
    case strategy_kind::bounded_hash:
        return std::make_unique<bounded_hash>();
    case strategy_kind::expected_completion:
        break;
    }
    return std::make_unique<expected_completion>(settings.samples,
                                                 settings.local_samples);
}

} // namespace buckthornvale::decision::routing
