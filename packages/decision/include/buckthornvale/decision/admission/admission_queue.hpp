#ifndef BUCKTHORNVALE_DECISION_ADMISSION_ADMISSION_QUEUE_HPP
#define BUCKTHORNVALE_DECISION_ADMISSION_ADMISSION_QUEUE_HPP

#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/core/time.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace buckthornvale::decision::admission
{

//! Sort key of a queued request among those of its organisation.
struct queue_position
{
    std::int64_t key = 0;       //!< lower goes first
    std::uint64_t sequence = 0; //!< breaks ties by arrival

    friend bool operator<(queue_position a, queue_position b)
    {
        return a.key != b.key ? a.key < b.key : a.sequence < b.sequence;
    }
};

//! Queued requests of one rank that need the same pools, with one flow per
//! organisation. Flows are ordered by the virtual token counter of their
//! organisation, lowest first.
class admission_queue
{
public:
    void push(organisation_id organisation, double counter,
              queue_position position, request_id request);

    //! Removes a request; does nothing when it is not here.
    void erase(organisation_id organisation, queue_position position);

    //! Returns the first request of the organisation with the lowest counter.
    //! `counter_of` gives the current counter of an organisation, which
    //! dispatches from other queues may have raised since the flow was last
    //! ordered. The queue must not be empty.
    template <class CounterOf>
    std::pair<organisation_id, request_id> front(CounterOf counter_of)
    {
        for (;;)
        {
            auto const [counter, id] = *flow_order_.begin();
            auto const current = counter_of(id);
            if (current <= counter)
                return {id, flows_[id].requests.begin()->second};
            reorder(id, current);
        }
    }

    bool empty() const { return flow_order_.empty(); }
    std::size_t size() const { return size_; }

private:
    struct flow
    {
        double counter = 0.0; //!< the key of the flow in flow_order_
        std::map<queue_position, request_id> requests;
    };

    void reorder(organisation_id id, double counter);

    absl::flat_hash_map<organisation_id, flow> flows_;
    std::set<std::pair<double, organisation_id>> flow_order_;
    std::size_t size_ = 0;
};

} // namespace buckthornvale::decision::admission

#endif
