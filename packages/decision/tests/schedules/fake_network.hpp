#ifndef BUCKTHORNVALE_TESTS_SCHEDULES_FAKE_NETWORK_HPP
#define BUCKTHORNVALE_TESTS_SCHEDULES_FAKE_NETWORK_HPP

#include "event_queue.hpp"

#include <cstddef>
#include <functional>
#include <vector>

namespace buckthornvale::decision::schedules
{

//! Simulated network between VMs with delay, reordering, duplication, loss and
//! partitions.
class fake_network
{
public:
    explicit fake_network(event_queue& events, std::size_t vms)
        : partition(vms, 0), events_(events)
    {
    }

    bool connected(std::size_t from, std::size_t to) const
    {
        return partition[from] == partition[to];
    }
    void send(std::size_t from, std::size_t to,
              std::function<void()> const& deliver)
    {
        if (!connected(from, to) || events_.chance(loss))
            return;
        auto const copies = events_.chance(duplication) ? 2 : 1;
        for (int i = 0; i < copies; ++i)
        {
            auto const delay = events_.chance(long_delay_probability)
                                   ? events_.random_delay(50, 2500)
                                   : events_.random_delay(1, 10);
            events_.after(delay, deliver);
        }
    }

    //! Partition of each VM; VMs on different sides cannot communicate.
    std::vector<int> partition;
    double loss = 0.;
    double duplication = 0.;
    //! Probability of a long delay, in which other messages overtake.
    double long_delay_probability = 0.;

private:
    event_queue& events_;
};

} // namespace buckthornvale::decision::schedules

#endif
