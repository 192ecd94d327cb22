#include <buckthornvale/decision/admission/admission_queue.hpp>

namespace buckthornvale::decision::admission
{

void admission_queue::push(organisation_id organisation, double counter,
                           queue_position position, request_id request)
{
    auto const [it, added] = flows_.try_emplace(organisation);
    if (added)
    {
        it->second.counter = counter;
        flow_order_.emplace(counter, organisation);
    }
    it->second.requests.emplace(position, request);
    ++size_;
}

void admission_queue::erase(organisation_id organisation,
                            queue_position position)
{
    auto const it = flows_.find(organisation);
    if (it == flows_.end() || it->second.requests.erase(position) == 0)
        return;
    --size_;
    if (!it->second.requests.empty())
        return;
    flow_order_.erase({it->second.counter, organisation});
    flows_.erase(it);
}

void admission_queue::reorder(organisation_id id, double counter)
{
    auto& reordered = flows_[id];
    flow_order_.erase({reordered.counter, id});
    reordered.counter = counter;
    flow_order_.emplace(counter, id);
}

} // namespace buckthornvale::decision::admission
