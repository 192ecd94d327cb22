#ifndef BUCKTHORNVALE_DECISION_ROUTING_EXPECTED_COMPLETION_HPP
#define BUCKTHORNVALE_DECISION_ROUTING_EXPECTED_COMPLETION_HPP

#include <buckthornvale/decision/routing/choice_strategy.hpp>

#include <cstddef>

namespace buckthornvale::decision::routing
{

//! The router's own strategy: the least expected completion time among random
//! samples of the pool, samples of the local failure domain, and runners that
//! hold the prefix or the adapter. VMs with the same reports draw different
//! samples, so they do not all choose the same best runner.
class expected_completion final : public choice_strategy
{
public:
    expected_completion(std::size_t samples, std::size_t local_samples)
        : samples_(samples), local_samples_(local_samples)
    {
    }

    runner_index choose(candidates const& from, pcg32& random) override;

private:
    std::size_t samples_;
    std::size_t local_samples_;
};

} // namespace buckthornvale::decision::routing

#endif
