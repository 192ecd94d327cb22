#ifndef BUCKTHORNVALE_DECISION_GATEWAY_RATE_METER_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_RATE_METER_HPP

#include <buckthornvale/decision/core/time.hpp>

#include <cstddef>

namespace buckthornvale::decision::gateway
{

//! Exponentially weighted rate of events.
class rate_meter
{
public:
    void count(std::size_t events, time_point now);

    //! Events per second.
    double rate(time_point now) const;

private:
    double rate_ = 0;
    time_point updated_at_{};
};

} // namespace buckthornvale::decision::gateway

#endif
