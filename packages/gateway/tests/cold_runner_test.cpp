#include "fleet_fixture.hpp"

#include <algorithm>
#include <chrono>
#include <vector>

namespace buckthornvale::gateway
{
namespace
{

using namespace std::chrono_literals;

//! Two gateways in front of one runner, which says that it is cold.
class fleet_cold_runner : public fleet_fixture
{
protected:
    fleet_cold_runner()
    {
        cold_requests_per_s = 2;
        put_manifest(2);
        set_cold(4000);
        for (auto const* name : {"vm-0", "vm-1"})
        {
            gateways.push_back(start_gateway(name));
            ports.push_back(callers_port);
        }
        // Until the first gateway knows of the second one.
        run_for(1800ms);
        set_cold(4000);
        wait_for_runners();
    }

    void set_cold(int time_left_ms)
    {
        auto entry = plain->entry("plain");
        entry["coldRemainingMs"] = time_left_ms;
        object_store.put_runner("plain-1", entry);
    }

    //! Sends requests to both gateways at once.
    void send_requests()
    {
        constexpr int requests_per_gateway = 20;
        for (int n = 0; n < requests_per_gateway; ++n)
            for (auto const port : ports)
            {
                callers.push_back(
                    std::make_unique<recording_caller>(loop, port));
                callers.back()->send(request("POST", "/book/x", ""));
            }
    }

    //! Runs for some time and returns the largest number of requests that the
    //! runner received in any second of it.
    std::size_t most_in_second(std::chrono::milliseconds time)
    {
        using clock = std::chrono::steady_clock;
        std::vector<clock::time_point> arrivals(plain->received.size(),
                                                clock::now());
        auto const end = clock::now() + time;
        run_until(
            [&]
            {
                arrivals.resize(plain->received.size(), clock::now());
                return clock::now() >= end;
            });
        std::size_t out = 0;
        std::size_t first = 0;
        for (std::size_t n = 0; n < arrivals.size(); ++n)
        {
            while (arrivals[n] - arrivals[first] > 1s)
                ++first;
            out = std::max(out, n - first + 1);
        }
        return out;
    }

    std::size_t answers(std::string const& status) const
    {
        std::size_t out = 0;
        for (auto const& it : callers)
            out += contains(it->received, status) ? 1 : 0;
        return out;
    }

    std::unique_ptr<runner> plain = add_runner("plain-1", "plain");
    std::vector<std::unique_ptr<gateway_process>> gateways;
    std::vector<std::uint16_t> ports;
    std::vector<std::unique_ptr<recording_caller>> callers;
};

// Each gateway sent all it had to a runner that was starting.
TEST_F(fleet_cold_runner, gets_no_more_than_it_takes_from_both)
{
    constexpr std::size_t allowed_in_second = 8;
    send_requests();
    EXPECT_LE(most_in_second(3s), allowed_in_second);
    run_until([&] { return answers("HTTP/1.1 ") == callers.size(); });
    EXPECT_GT(answers("503"), 0U);
    EXPECT_EQ(answers("200 OK"), plain->received.size());
    EXPECT_GT(answers("200 OK"), 0U);
}

TEST_F(fleet_cold_runner, gets_all_when_it_is_warm)
{
    set_cold(0);
    wait_for_runners();
    send_requests();
    EXPECT_TRUE(run_until([&] { return answers("200 OK") == callers.size(); }));
}

} // namespace
} // namespace buckthornvale::gateway
