#ifndef BUCKTHORNVALE_BENCH_POLICY_OVERLOAD_GATE_HPP
#define BUCKTHORNVALE_BENCH_POLICY_OVERLOAD_GATE_HPP

#include <buckthornvale/decision/core/rank.hpp>

#include <cstddef>
#include <memory>

namespace buckthornvale::bench
{

//! Overload control of another kind in front of a VM's controller; compared
//! by the bench, not part of the product.
class overload_gate
{
public:
    virtual ~overload_gate() = default;
    //! False refuses a request on arrival.
    virtual bool admit(decision::rank r, std::size_t caller, double now) = 0;
    //! True drops a request that is about to start after waiting.
    virtual bool drop(double waited, double now) = 0;
    //! Notes the wait of a request that starts.
    virtual void started(double waited, double now) = 0;
};

//! DAGOR-like: a level over (rank, caller) falls when the mean wait of a
//! window is above a limit, and rises slowly when it is below.
std::unique_ptr<overload_gate> make_level_gate();

//! CoDel-like: drops at a rising rate while every wait of an interval was
//! above a target.
std::unique_ptr<overload_gate> make_ageing_gate();

} // namespace buckthornvale::bench

#endif
