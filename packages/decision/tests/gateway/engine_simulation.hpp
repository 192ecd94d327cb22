#ifndef BUCKTHORNVALE_DECISION_TESTS_GATEWAY_ENGINE_SIMULATION_HPP
#define BUCKTHORNVALE_DECISION_TESTS_GATEWAY_ENGINE_SIMULATION_HPP

#include <buckthornvale/decision/gateway/runner_choice.hpp>

#include <pcg_random.hpp>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace buckthornvale::decision::gateway
{

//! Prompts of one kind: a part that all share, one of the session, one of the
//! request.
struct prompt_load
{
    std::string name;
    double per_second = 0;
    double common_tokens = 0;
    double session_tokens = 0;
    double own_tokens = 0;
    int output_tokens = 0;
    duration target{}; //!< for the first event
    std::uint64_t sessions = 50;
    int rank = 0;
};

//! What callers of one kind saw.
struct prompt_outcome
{
    int prompts = 0;
    int on_time = 0;

    double on_time_share() const { return double(on_time) / prompts; }
};

struct engine_scenario
{
    std::size_t vm_count = 30;
    std::vector<double> slowdowns; //!< of the runners
    std::vector<prompt_load> loads;
    duration length{};
    //! VMs know no more than their numbers of requests at each runner.
    bool count_only = false;
    std::uint64_t seed = 1;
    //! The first runner takes this many times as long from the middle on, and
    //! does not report it.
    double later_slowdown = 1;
};

//! VMs that each choose model runners by themselves, in virtual time. A runner
//! reads waiting prompts in chunks, the most urgent first, between the tokens
//! of those that run.
class engine_simulation
{
public:
    explicit engine_simulation(engine_scenario scenario);

    void run();

    prompt_outcome const& outcome(std::string const& name) const
    {
        return outcomes_.at(name);
    }

    double tokens_read() const { return tokens_read_; }

    //! Tokens of shared parts that another runner had read before.
    double tokens_read_again() const { return tokens_read_again_; }

private:
    struct prompt
    {
        request_ref ref = 0;
        std::size_t vm = 0;
        std::size_t load = 0;
        int priority = 0;
        std::vector<prompt_part> parts;
        std::optional<double> unread; //!< tokens, known from the first step on
        int output_left = 0;
        time_point arrived_at{};
    };

    struct fake_engine
    {
        double slowdown = 1;
        bool busy = false;
        std::deque<prompt> waiting;
        std::vector<prompt> running;
        std::set<std::uint64_t> cached;
    };

    struct vm
    {
        std::vector<runner_state> runners;
        engine_profile profile;
    };

    void add_arrivals();
    void arrive(prompt it);
    double take_uncached(fake_engine& engine, prompt const& it);
    void step(std::size_t n);
    void start(std::size_t n, prompt const& it);
    void schedule_step(std::size_t n);

    engine_scenario scenario_;
    pcg32 random_;
    time_point now_;
    std::multimap<time_point, prompt> arrivals_;
    std::multimap<time_point, std::size_t> steps_; //!< ends, by runner
    std::vector<fake_engine> engines_;
    std::vector<vm> vms_;
    std::map<std::string, prompt_outcome> outcomes_;
    std::set<std::uint64_t> read_somewhere_;
    double tokens_read_ = 0;
    double tokens_read_again_ = 0;
};

} // namespace buckthornvale::decision::gateway

#endif
