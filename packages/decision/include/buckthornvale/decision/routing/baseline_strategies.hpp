#ifndef BUCKTHORNVALE_DECISION_ROUTING_BASELINE_STRATEGIES_HPP
#define BUCKTHORNVALE_DECISION_ROUTING_BASELINE_STRATEGIES_HPP

#include <buckthornvale/decision/routing/choice_strategy.hpp>

#include <cstddef>

//! Baseline strategies for comparison with the router's own; each has a
//! `strategy_kind`.
namespace buckthornvale::decision::routing
{

class random_choice final : public choice_strategy
{
public:
    runner_index choose(candidates const& from, pcg32& random) override;
};

//! Chooses the usable runners in turn.
class round_robin final : public choice_strategy
{
public:
    runner_index choose(candidates const& from, pcg32& random) override;

private:
    std::size_t next_ = 0;
};

//! Chooses the runner of the whole pool with the fewest attempts of this VM per
//! slot.
class least_request final : public choice_strategy
{
public:
    runner_index choose(candidates const& from, pcg32& random) override;
};

//! Power of two choices: the one of two random runners with fewer attempts of
//! this VM per slot.
class two_choices final : public choice_strategy
{
public:
    runner_index choose(candidates const& from, pcg32& random) override;
};

//! Hot-cold lexicographic rule as published for Prequal: samples whose load is
//! above a high quantile of loads are hot. The cold sample with the lowest
//! latency is chosen, or the sample with the lowest load when all are hot.
class hot_cold final : public choice_strategy
{
public:
    runner_index choose(candidates const& from, pcg32& random) override;

private:
    double hot_threshold_ = 1.; //!< estimate of the quantile
};

//! Hashing of the prompt's first block (or of the adapter when there is none)
//! with bounded loads: runners above 1.25 times the mean load are skipped.
class bounded_hash final : public choice_strategy
{
public:
    runner_index choose(candidates const& from, pcg32& random) override;
};

} // namespace buckthornvale::decision::routing

#endif
