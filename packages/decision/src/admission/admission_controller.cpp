#include <buckthornvale/decision/admission/admission_controller.hpp>

#include <absl/container/flat_hash_map.h>

#include <deque>

namespace buckthornvale::decision::admission
{

namespace detail
{

struct kept_request
{
    std::vector<stage_demand> stages;
    time_point latest_start;
    bool running = false;
};

struct admission_state
{
    admission_settings settings;
    absl::flat_hash_map<pool_id, double> slots;
    absl::flat_hash_map<pool_id, double> backlog;
    absl::flat_hash_map<request_id, kept_request> requests;
    std::array<std::deque<request_id>, rank_count> queues;

    bool admissible(std::vector<stage_demand> const& stages) const
    {
        for (auto const& it : stages)
        {
            auto const cap = slots.find(it.pool);
            auto const used = backlog.find(it.pool);
            if (cap != slots.end() && used != backlog.end() &&
                used->second >= cap->second)
                return false;
        }
        return true;
    }

    void start(kept_request& request)
    {
        request.running = true;
        for (auto const& it : request.stages)
            backlog[it.pool] += to_seconds(it.expected_work);
    }
};

} // namespace detail

admission_controller::admission_controller(admission_settings settings,
                                           std::uint64_t)
    : state_(std::make_unique<detail::admission_state>())
{
    state_->settings = settings;
}

admission_controller::~admission_controller() = default;
admission_controller::admission_controller(admission_controller&&) noexcept =
    default;
admission_controller&
admission_controller::operator=(admission_controller&&) noexcept = default;

admission_decision admission_controller::admit(admission_request const& request,
                                               time_point now)
{
    if (now + request.expected_total > request.deadline)
        return {verdict::refused, error_kind::deadline_unreachable, {}};
    auto& queue = state_->queues[index_of(request.work_rank)];
    if (queue.size() >= state_->settings.queue_capacity)
        return {verdict::refused, error_kind::overloaded,
                std::chrono::seconds(1)};
    auto& kept = state_->requests[request.request];
    kept.stages.assign(request.stages.begin(), request.stages.end());
    kept.latest_start = request.deadline - request.expected_total;
    if (queue.empty() && state_->admissible(kept.stages))
    {
        state_->start(kept);
        return {verdict::dispatch, error_kind::none, {}};
    }
    queue.push_back(request.request);
    return {verdict::queued, error_kind::none, {}};
}

void admission_controller::poll(time_point now,
                                std::vector<request_id>& dispatch,
                                std::vector<request_id>& expired)
{
    for (auto& queue : state_->queues)
    {
        while (!queue.empty())
        {
            auto const it = state_->requests.find(queue.front());
            if (it == state_->requests.end())
            {
                queue.pop_front();
                continue;
            }
            if (it->second.latest_start < now)
            {
                expired.push_back(it->first);
                state_->requests.erase(it);
                queue.pop_front();
                continue;
            }
            if (!state_->admissible(it->second.stages))
                break;
            state_->start(it->second);
            dispatch.push_back(it->first);
            queue.pop_front();
        }
    }
}

void admission_controller::stage_finished(request_id id, pool_id pool, duration,
                                          time_point)
{
    auto const it = state_->requests.find(id);
    if (it == state_->requests.end())
        return;
    auto& stages = it->second.stages;
    for (auto stage = stages.begin(); stage != stages.end(); ++stage)
    {
        if (stage->pool != pool)
            continue;
        state_->backlog[pool] -= to_seconds(stage->expected_work);
        stages.erase(stage);
        return;
    }
}

void admission_controller::finished(request_id id, time_point)
{
    auto const it = state_->requests.find(id);
    if (it == state_->requests.end())
        return;
    if (it->second.running)
    {
        for (auto const& stage : it->second.stages)
            state_->backlog[stage.pool] -= to_seconds(stage.expected_work);
    }
    state_->requests.erase(it);
}

bool admission_controller::cancel(request_id id, time_point)
{
    auto const it = state_->requests.find(id);
    if (it == state_->requests.end() || it->second.running)
        return false;
    state_->requests.erase(it);
    return true;
}

void admission_controller::set_pool_capacity(pool_id pool, double slots,
                                             time_point)
{
    state_->slots[pool] = slots;
}

void admission_controller::set_organisation(organisation_id,
                                            organisation_limits const&)
{
}

void admission_controller::remove_organisation(organisation_id) {}

void admission_controller::set_ranks(rank_table const&) {}

void admission_controller::set_fleet(std::size_t, time_point) {}

void admission_controller::peer_demand(vm_id, demand_summary const&, time_point)
{
}

demand_summary admission_controller::local_demand(time_point) const
{
    return {};
}

admission_counts admission_controller::counts() const
{
    return {};
}

} // namespace buckthornvale::decision::admission
