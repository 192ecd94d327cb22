#ifndef BUCKTHORNVALE_TESTS_SYSTEM_SUPPORT_BOOKING_LOG_HPP
#define BUCKTHORNVALE_TESTS_SYSTEM_SUPPORT_BOOKING_LOG_HPP

#include "support/fleet.hpp"

#include <mutex>

namespace buckthornvale::tests
{

//! Sends bookings, keeps every reply and checks them against what the
//! services executed. Thread-safe but for the checks.
class booking_log
{
public:
    explicit booking_log(fleet& under_test) : fleet_(under_test) {}

    reply send(booking const& what, vm const& through);

    //! Repeats each key through the running VMs until it is completed or is
    //! told unknown with no VM at work on it any more.
    void settle();

    //! I3, I4 and equal results of repeats, for all replies so far.
    void check();

    //! Keys whose last reply has this outcome.
    std::size_t count(std::string const& outcome) const;

private:
    struct history
    {
        booking what;
        std::vector<reply> replies;
    };

    fleet& fleet_;
    mutable std::mutex mutex_;
    std::map<std::string, history> histories_;
};

} // namespace buckthornvale::tests

#endif
