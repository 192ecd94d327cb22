#ifndef BUCKTHORNVALE_DECISION_ROUTING_CHOICE_STRATEGY_HPP
#define BUCKTHORNVALE_DECISION_ROUTING_CHOICE_STRATEGY_HPP

#include <buckthornvale/decision/routing/candidates.hpp>

#include <pcg_random.hpp>

#include <memory>
#include <string_view>

namespace buckthornvale::decision::routing
{

//! Strategy that picks one of the candidates. Calls do not allocate.
class choice_strategy
{
public:
    choice_strategy() = default;
    choice_strategy(choice_strategy const&) = delete;
    choice_strategy& operator=(choice_strategy const&) = delete;
    virtual ~choice_strategy() = default;

    //! Picks an allowed runner; `no_index` when there is none.
    virtual runner_index choose(candidates const& from, pcg32& random) = 0;
};

//! Name used in settings, metrics and benchmark tables.
std::string_view name_of(strategy_kind kind);

std::unique_ptr<choice_strategy>
make_strategy(strategy_kind kind, routing_settings const& settings);

} // namespace buckthornvale::decision::routing

#endif
