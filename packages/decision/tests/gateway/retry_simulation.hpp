#ifndef BUCKTHORNVALE_DECISION_TESTS_GATEWAY_RETRY_SIMULATION_HPP
#define BUCKTHORNVALE_DECISION_TESTS_GATEWAY_RETRY_SIMULATION_HPP

#include <buckthornvale/decision/gateway/retry_budget.hpp>

#include <pcg_random.hpp>

#include <cstdint>
#include <vector>

namespace buckthornvale::decision::gateway
{

//! One service whose runners refuse most sends, behind a fleet of VMs of uneven
//! size. Callers send at twice and a half times the usual rate now and then.
struct retry_scenario
{
    std::size_t vm_count = 8;
    double requests_per_s = 130; //!< of the whole fleet, outside bursts
    double refused_share = 0.7;  //!< of the sends, during bursts
    double quiet_refused_share = 0.0;
    retry_budget_limits limits{0.2, 56, std::chrono::seconds(10)};
    //! A third of the VMs lose their state at these times and start again.
    std::vector<duration> restarts;
    //! As many VMs as at first join at this time; zero: none.
    duration join_at{};
    std::uint64_t seed = 1;
};

//! Runs a scenario in virtual time and counts what arrives at the runners.
class retry_simulation
{
public:
    explicit retry_simulation(retry_scenario scenario);

    void run(duration length);

    std::size_t retries() const { return retries_.size(); }

    //! Largest excess of retries over the limit in any position of the window.
    double largest_excess() const;

    //! Share of the limit that was used in the fullest position of the window.
    double largest_use() const;

private:
    struct vm
    {
        retry_budget budget;
        double weight = 1;
    };

    void add_vms(std::size_t n, time_point at);
    void restart_vms(time_point at);
    bool in_burst(duration elapsed) const;
    void serve(time_point now, bool burst);
    std::size_t counted_vms(duration elapsed) const;
    double allowed_until(time_point end) const;
    template <class Visitor>
    void visit_windows(Visitor const& visit) const;

    retry_scenario scenario_;
    pcg32 random_;
    std::vector<vm> vms_;
    time_point start_{std::chrono::seconds(100)};
    std::vector<time_point> requests_;
    std::vector<time_point> retries_; //!< arrivals at runners, unordered
};

} // namespace buckthornvale::decision::gateway

#endif
