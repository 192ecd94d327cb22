#ifndef BUCKTHORNVALE_TESTS_SYSTEM_SUPPORT_BOOKING_CHECKER_HPP
#define BUCKTHORNVALE_TESTS_SYSTEM_SUPPORT_BOOKING_CHECKER_HPP

#include "support/fleet.hpp"

#include <mutex>

namespace buckthornvale::tests
{

//! Sends bookings, keeps every reply and checks them against what the
//! services executed. Thread-safe but for the checks.
class booking_checker
{
public:
    explicit booking_checker(fleet& under_test) : fleet_(under_test) {}

    reply send(booking const& request, vm const& entry_vm);

    //! Repeats each key through the running VMs until it is completed or is
    //! told unknown with no VM at work on it any more.
    void await_final_outcomes();

    //! I3, I4 and equal results of repeats, for all replies so far.
    void check_invariants();

    //! Keys whose last reply has this outcome.
    std::size_t count_with_outcome(std::string const& outcome) const;

private:
    struct history
    {
        booking request;
        std::vector<reply> replies;
    };

    fleet& fleet_;
    mutable std::mutex mutex_;
    std::map<std::string, history> histories_;
};

} // namespace buckthornvale::tests

#endif
