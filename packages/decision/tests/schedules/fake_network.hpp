#ifndef BUCKTHORNVALE_TESTS_SCHEDULES_FAKE_NETWORK_HPP
#define BUCKTHORNVALE_TESTS_SCHEDULES_FAKE_NETWORK_HPP

#include "event_queue.hpp"

#include <cstddef>
#include <functional>
#include <vector>

namespace buckthornvale::decision::schedules
{

//! Network between VMs: delay, reorder, duplication, loss, partition.
class fake_network
{
public:
    explicit fake_network(event_queue& events, std::size_t vms)
        : side(vms, 0), events_(events)
    {
    }

    bool connected(std::size_t from, std::size_t to) const
    {
        return side[from] == side[to];
    }
    void send(std::size_t from, std::size_t to,
              std::function<void()> const& deliver)
    {
        if (!connected(from, to) || events_.chance(loss))
            return;
        auto const copies = events_.chance(duplication) ? 2 : 1;
        for (int i = 0; i < copies; ++i)
        {
            auto const delay = events_.chance(slow) ? events_.between(50, 2500)
                                                    : events_.between(1, 10);
            events_.after(delay, deliver);
        }
    }

    std::vector<int> side; //!< VMs of different sides are partitioned
    double loss = 0.;
    double duplication = 0.;
    double slow = 0.; //!< share of messages that are overtaken by others

private:
    event_queue& events_;
};

} // namespace buckthornvale::decision::schedules

#endif
