#ifndef BUCKTHORNVALE_DECISION_GATEWAY_DISPATCH_PRIORITY_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_DISPATCH_PRIORITY_HPP

#include <tuple>

namespace buckthornvale::decision::gateway
{

//! Class of pieces in the queue of a stage service. A class is served before
//! all that compare greater, so that a flood of less urgent requests delays
//! only its own class and those behind it.
struct dispatch_priority
{
    //! The request cannot be on time. It yields to all that can.
    bool deferred = false;
    int route_rank = 0; //!< 0 is the most urgent
    //! Rank of the organisation, which decides among requests of equal routes.
    int organisation_rank = 0;

    friend bool operator<(dispatch_priority const& a,
                          dispatch_priority const& b)
    {
        return a.key() < b.key();
    }

    friend bool operator==(dispatch_priority const& a,
                           dispatch_priority const& b)
    {
        return a.key() == b.key();
    }

private:
    std::tuple<bool, int, int> key() const
    {
        return {deferred, route_rank, organisation_rank};
    }
};

} // namespace buckthornvale::decision::gateway

#endif
