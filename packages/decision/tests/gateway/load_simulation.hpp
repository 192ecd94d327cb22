#ifndef BUCKTHORNVALE_DECISION_TESTS_GATEWAY_LOAD_SIMULATION_HPP
#define BUCKTHORNVALE_DECISION_TESTS_GATEWAY_LOAD_SIMULATION_HPP

#include <buckthornvale/decision/gateway/reducer.hpp>

#include <pcg_random.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace buckthornvale::decision::gateway
{

//! Requests of one route.
struct route_load
{
    std::string path;
    double per_second = 0;
    //! Number of pieces by stage.
    std::vector<std::uint32_t> pieces;
};

//! What the callers of one route received.
struct route_outcome
{
    int callers = 0;
    int on_time = 0; //!< first event within the target of the first attempt
    int late = 0;

    double on_time_share() const
    {
        return callers == 0 ? 0 : double(on_time) / callers;
    }

    int not_served() const { return callers - on_time - late; }
};

//! Callers, stage runners and model runners around one reducer, in virtual
//! time. Callers differ in patience. A refused caller returns once, on a new
//! connection, as the users' callers do.
class load_simulation
{
public:
    load_simulation(std::shared_ptr<manifest const> routes,
                    std::map<std::string, std::size_t> const& runner_counts);

    //! Adds arrivals for this long, from `start_in` after the present time on.
    void add_load(route_load const& load, duration length,
                  duration start_in = {});

    //! Runs until all callers have an answer.
    void run();

    route_outcome const& outcome(std::string const& path) const
    {
        return outcomes_.at(path);
    }

private:
    struct caller
    {
        request_arrived first_attempt;
        time_point arrived_at{};
        bool returned = false;
    };

    void arrive(caller const& from, time_point at);
    void feed(event const& input);
    void execute(send_attempt const& in);
    void execute(refuse_request const& in);
    void execute(call_stage const& in);
    void execute(free_results const& in);
    template <class Ignored>
    void execute(Ignored const&)
    {
    }
    void start_stream(stream_started const& started);

    reducer gateway_;
    std::shared_ptr<manifest const> manifest_;
    time_point now_{std::chrono::seconds(100)};
    pcg32 random_{1};
    std::multimap<time_point, event> events_;
    //! Callers without a final answer, by their current request.
    std::map<request_ref, caller> callers_;
    std::map<std::string, route_outcome> outcomes_;
    request_ref next_request_ = 1;
};

} // namespace buckthornvale::decision::gateway

#endif
