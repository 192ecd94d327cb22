#ifndef BUCKTHORNVALE_DECISION_TESTS_ADMISSION_FIXTURE_HPP
#define BUCKTHORNVALE_DECISION_TESTS_ADMISSION_FIXTURE_HPP

#include <buckthornvale/decision/admission/admission_controller.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace buckthornvale::decision::admission
{

inline time_point at(double seconds)
{
    return time_point(from_seconds(seconds));
}

inline pool_id const models = pool_id::of("models");

inline organisation_id organisation(std::string const& name)
{
    return organisation_id::of(name);
}

//! Admission controller of one VM with one pool; each request needs 1 s of it.
class vm_fixture
{
public:
    explicit vm_fixture(admission_settings const& settings = {},
                        double slots = 10, std::size_t fleet = 1)
        : controller(settings, 7)
    {
        rank_table ranks;
        ranks[0].guaranteed_share = 0.4;
        ranks[1].guaranteed_share = 0.35;
        ranks[2].guaranteed_share = 0.25;
        ranks[0].worth = 10.0;
        ranks[1].worth = 3.0;
        controller.set_ranks(ranks);
        controller.set_pool_capacity(models, slots, at(0));
        controller.set_fleet_size(fleet, at(0));
    }

    admission_decision admit(rank r, std::string const& organisation_name,
                             double now, double deadline = 60.0)
    {
        stage_demand const stage{models, std::chrono::seconds(1)};
        admission_request request;
        request.request = last_request = {1, ++count};
        request.organisation = organisation(organisation_name);
        request.work_rank = r;
        request.deadline = at(now + deadline);
        request.stages = {&stage, 1};
        request.expected_total = std::chrono::seconds(1);
        return controller.admit(request, at(now));
    }

    //! Submits `n` requests; returns how many were dispatched at once.
    int offer_requests(int n, rank r, std::string const& organisation_name,
                       double now)
    {
        int out = 0;
        for (int i = 0; i < n; ++i)
        {
            if (admit(r, organisation_name, now).outcome !=
                admission_outcome::dispatch)
                continue;
            ++out;
            running.push_back(last_request);
        }
        return out;
    }

    void poll(double now)
    {
        dispatched.clear();
        expired.clear();
        controller.poll(at(now), dispatched, expired);
    }

    void finish(request_id id, double now)
    {
        controller.stage_finished(id, models, std::chrono::seconds(1), at(now));
        controller.finished(id, at(now));
    }

    admission_controller controller;
    request_id last_request;
    std::uint64_t count = 0;
    std::vector<request_id> running;
    std::vector<request_id> dispatched;
    std::vector<request_id> expired;
};

} // namespace buckthornvale::decision::admission

#endif
