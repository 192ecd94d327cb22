#ifndef BUCKTHORNVALE_DECISION_GATEWAY_QUEUE_FORECAST_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_QUEUE_FORECAST_HPP

#include <buckthornvale/decision/gateway/dispatch_priority.hpp>
#include <buckthornvale/decision/gateway/wait_profile.hpp>

#include <vector>

namespace buckthornvale::decision::gateway
{

//! Waiting times in the queue of a stage service, by priority class.
struct queue_forecast
{
    struct class_waits
    {
        dispatch_priority priority;
        //! Includes the wait for all classes before this one.
        wait_profile waits;
        //! Wait of a piece of any class between this one and the next.
        duration behind{};
    };

    //! Wait of a piece that is submitted now.
    duration at(dispatch_priority priority, duration due_in) const;

    //! Wait behind the whole queue.
    duration longest() const;

    //! Classes that have pieces or had some recently, in ascending order.
    std::vector<class_waits> classes;
    duration without_queue{}; //!< wait of a piece that is served first
};

} // namespace buckthornvale::decision::gateway

#endif
