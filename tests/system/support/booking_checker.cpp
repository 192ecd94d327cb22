#include "support/booking_checker.hpp"

#include "support/await.hpp"

namespace buckthornvale::tests
{

namespace
{

bool is_final(reply const& last)
{
    return last.outcome() == "completed" ||
           (last.outcome() == "unknown" && last.status != 202);
}

} // namespace

reply booking_checker::send(booking const& request, vm const& entry_vm)
{
    auto const response =
        send_request(entry_vm.http_address(), "booking", request.body());
    std::lock_guard const lock(mutex_);
    auto& entry = histories_[request.key];
    entry.request = request;
    entry.replies.push_back(response);
    return response;
}

void booking_checker::await_final_outcomes()
{
    std::vector<vm const*> running;
    for (auto& it : fleet_.vms)
    {
        if (it.program->running())
            running.push_back(&it);
    }
    std::size_t n = 0;
    for (auto const& [key, entry] : histories_)
    {
        if (is_final(entry.replies.back()))
            continue;
        auto const request = entry.request;
        await("the outcome of " + key,
              [&]
              {
                  auto const& entry_vm = *running[n++ % running.size()];
                  return is_final(send(request, entry_vm));
              });
    }
}

void booking_checker::check_invariants()
{
    auto const by_key = fleet_.executions("bookings", "by_key");
    auto const by_request = fleet_.executions("bookings", "by_request");
    std::uint64_t executed = 0;
    for (auto const& [key, n] : by_key)
    {
        EXPECT_EQ(n, 1U) << "invariant I4: booking " << key
                         << " was executed more than once";
        executed += n;
    }
    std::size_t completed = 0;
    std::size_t unknown = 0;
    for (auto const& [key, entry] : histories_)
    {
        json result;
        bool may_have_run = false;
        for (auto const& it : entry.replies)
        {
            if (it.outcome() == "not_run")
            {
                EXPECT_EQ(by_request.count(it.request_id()), 0U)
                    << "invariant I3: reported as not_run but executed: "
                    << it.body.dump();
            }
            may_have_run |= it.outcome() != "not_run" && !it.connect_failed;
            if (it.outcome() != "completed")
                continue;
            EXPECT_TRUE(result.is_null() || result == it.body["result"])
                << "invariant I1: different results for repeats of " << key;
            result = it.body["result"];
        }
        completed += result.is_null() ? 0 : 1;
        unknown += result.is_null() && may_have_run ? 1 : 0;
    }
    EXPECT_GE(executed, completed)
        << "a booking was reported as completed but not executed";
    EXPECT_LE(executed, completed + unknown)
        << "invariant I3: a booking was executed although all its replies were "
           "not_run";
}

std::size_t
booking_checker::count_with_outcome(std::string const& outcome) const
{
    std::size_t n = 0;
    for (auto const& it : histories_)
        n += it.second.replies.back().outcome() == outcome ? 1 : 0;
    return n;
}

} // namespace buckthornvale::tests
