#ifndef BUCKTHORNVALE_DECISION_ROUTING_WARM_UP_HPP
#define BUCKTHORNVALE_DECISION_ROUTING_WARM_UP_HPP

#include <buckthornvale/decision/core/time.hpp>

namespace buckthornvale::decision::routing
{

//! Slow start of a new or returned runner: the share of its speed that choices
//! assume rises linearly to 1.
class warm_up
{
public:
    void start(time_point now, duration length, double first_share)
    {
        end_ = now + length;
        length_ = length;
        first_share_ = first_share;
    }

    //! Share in (0, 1].
    double share(time_point now) const
    {
        if (now >= end_)
            return 1.;
        double const left = to_seconds(end_ - now) / to_seconds(length_);
        return 1. - (1. - first_share_) * left;
    }

private:
    time_point end_{};
    duration length_{1};
    double first_share_ = 1.;
};

} // namespace buckthornvale::decision::routing

#endif
