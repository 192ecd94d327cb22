#ifndef BUCKTHORNVALE_DECISION_TESTS_GATEWAY_LIMIT_SIMULATION_HPP
#define BUCKTHORNVALE_DECISION_TESTS_GATEWAY_LIMIT_SIMULATION_HPP

#include <buckthornvale/decision/gateway/reducer.hpp>

#include <pcg_random.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace buckthornvale::decision::gateway
{

//! A change of the limit that runners name; below zero: none.
struct limit_change
{
    duration at{};
    double limit_per_s = 0;
};

//! A time for which the runners that change are cold.
struct cold_period
{
    duration at{};
    duration length{};
};

//! VMs in front of the runners of one plain service, of which some change: they
//! name a limit or turn cold.
struct limit_scenario
{
    std::size_t vm_count = 8;
    std::size_t runner_count = 18;
    double limited_share = 0.7;  //!< of the runners: those that change
    double requests_per_s = 100; //!< of the whole fleet
    std::vector<limit_change> limits{{std::chrono::seconds(2), 2.9}};
    //! Times at which every fourth VM starts again, with nothing known.
    std::vector<duration> restarts;
    //! Time at which as many VMs as at first join; zero: none.
    duration join_at{};
    double cold_per_s = 0; //!< limit of the service for cold runners
    std::vector<cold_period> cold;
    //! Time at which the second half of the runners is evacuated; zero: never.
    duration evacuate_at{};
    //! VMs learn of changes in the store within this time, each at another one.
    duration max_update_delay{};
    std::uint64_t seed = 1;
};

//! Runs reducers of a fleet in virtual time and counts what runners get.
class limit_simulation
{
public:
    explicit limit_simulation(limit_scenario scenario);

    void run(duration length);

    //! Largest excess of requests over what a limited runner allows, in any
    //! window of four seconds from the settle time after it named the limit, by
    //! the allowed bound.
    double largest_excess() const;

    //! Most requests that a cold runner was sent and got within a second, from
    //! the time on at which all VMs know that it is cold.
    std::size_t most_while_cold() const;

    //! Share of their last limit that the limited runners got, from `from` on.
    double use_of_limits(duration from) const;

    //! Number of VMs that still hold the limit of a runner, on average over the
    //! runners.
    double vms_with_limit() const;

    //! Share of the requests from `from` on that were answered.
    double served_share(duration from) const;

private:
    struct arrival
    {
        time_point at{};
        std::size_t vm = 0;
        time_point sent_at{};
    };

    struct runner_model
    {
        std::string id;
        double limit_per_s = -1;
        std::vector<arrival> arrivals;
        std::vector<limit_change> history;      //!< times from the start
        std::map<std::size_t, time_point> told; //!< VMs that passed it on
        std::vector<cold_period> cold_history;  //!< times from the start
    };

    struct vm
    {
        std::unique_ptr<reducer> logic;
        std::size_t restarts = 0;
    };

    struct pending_answer
    {
        std::size_t vm = 0;
        std::size_t restarts = 0;
        std::size_t runner = 0;
        request_ref request = 0;
        std::uint32_t attempt = 0;
    };

    void start_vm(std::size_t n);
    void list_members();
    void feed(std::size_t vm_number, event const& input);
    void send(std::size_t vm_number, send_attempt const& in);
    void answer(pending_answer const& in);
    void deliver_due();
    void change_limits(duration elapsed);
    void change_fleet(duration elapsed);
    void change_cold(duration elapsed);
    void evacuate(duration elapsed);
    //! Gives the event to each VM, at once or with a delay of its own.
    void publish(event const& input);
    void set_cold(std::size_t runner, duration time_left);
    void make_requests();
    bool is_limited(std::size_t runner) const;
    double excess(runner_model const& it) const;

    limit_scenario scenario_;
    pcg32 random_;
    std::vector<runner> registrations_;
    std::vector<runner_model> runners_;
    std::vector<vm> vms_;
    std::multimap<time_point, pending_answer> answers_;
    std::multimap<time_point, std::pair<std::size_t, event>> messages_;
    std::vector<time_point> requests_;
    std::vector<time_point> served_; //!< by time of arrival
    std::map<request_ref, time_point> open_;
    request_ref last_request_ = 0;
    time_point const start_{std::chrono::seconds(100)};
    time_point now_ = start_;
};

} // namespace buckthornvale::decision::gateway

#endif
