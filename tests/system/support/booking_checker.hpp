#ifndef BUCKTHORNVALE_TESTS_SYSTEM_SUPPORT_BOOKING_CHECKER_HPP
#define BUCKTHORNVALE_TESTS_SYSTEM_SUPPORT_BOOKING_CHECKER_HPP

#include "support/fleet.hpp"

#include <mutex>

namespace buckthornvale::tests
{

//! Sends bookings, records every reply and checks the replies against the
//! executions that the services report. Only send() is thread-safe; call
//! the other functions after all sending threads have ended.
class booking_checker
{
public:
    explicit booking_checker(fleet& under_test) : fleet_(under_test) {}

    reply send(booking const& request, vm const& entry_vm);

    //! Resends each booking through the running VMs until its outcome is
    //! final: completed, or unknown with no VM still working on it.
    void await_final_outcomes();

    //! Checks all replies so far: a booking reported as not_run was not
    //! executed (invariant I3), no booking was executed twice (I4), and
    //! repeats of a booking returned equal results (I1).
    void check_invariants();

    //! Number of bookings whose last reply has this outcome.
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
