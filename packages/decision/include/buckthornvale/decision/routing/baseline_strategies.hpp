#ifndef BUCKTHORNVALE_DECISION_ROUTING_BASELINE_STRATEGIES_HPP
#define BUCKTHORNVALE_DECISION_ROUTING_BASELINE_STRATEGIES_HPP

#include <buckthornvale/decision/routing/choice_strategy.hpp>

#include <cstddef>

//! Strategies that the router's own is measured against; each can be run.
namespace buckthornvale::decision::routing
{

class random_choice final : public choice_strategy
{
public:
    runner_index choose(candidates const& from, pcg32& random) override;
};

//! Each usable runner in turn.
class round_robin final : public choice_strategy
{
public:
    runner_index choose(candidates const& from, pcg32& random) override;

private:
    std::size_t next_ = 0;
};

//! Fewest attempts of this VM per slot over the whole pool.
class least_request final : public choice_strategy
{
public:
    runner_index choose(candidates const& from, pcg32& random) override;
};

//! Fewer attempts of this VM per slot of two random runners.
class two_choices final : public choice_strategy
{
public:
    runner_index choose(candidates const& from, pcg32& random) override;
};

//! Hot-cold rule as published for Prequal: samples whose load is above a high
//! quantile of loads are hot; the cold sample of least latency is taken, or
//! the sample of least load when all are hot.
class hot_cold final : public choice_strategy
{
public:
    runner_index choose(candidates const& from, pcg32& random) override;

private:
    double hot_threshold_ = 1.; //!< estimate of the quantile
};

//! Consistent hashing of the prompt's first block (the adapter when there is
//! none) with bounded loads: runners past 1.25 times the mean are passed over.
class bounded_hash final : public choice_strategy
{
public:
    runner_index choose(candidates const& from, pcg32& random) override;
};

} // namespace buckthornvale::decision::routing

#endif
