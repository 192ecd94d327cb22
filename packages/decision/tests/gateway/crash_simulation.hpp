#ifndef BUCKTHORNVALE_DECISION_TESTS_GATEWAY_CRASH_SIMULATION_HPP
#define BUCKTHORNVALE_DECISION_TESTS_GATEWAY_CRASH_SIMULATION_HPP

#include <buckthornvale/decision/gateway/reducer.hpp>

#include <pcg_random.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace buckthornvale::decision::gateway
{

//! Requests of one caller and route for a model runner.
struct crash_load
{
    std::string path = "/plan/";
    std::string key = "key-1";
    double per_second = 0;
    //! The shared parts of each prompt; another part is added that no other
    //! request has.
    std::vector<std::uint64_t> parts;
    //! Each request has one of so many parts in place of the last shared one.
    std::uint64_t subjects = 0;
    //! One request that crashes runners and comes again and again; it has no
    //! prompt.
    bool deadly_content = false;
};

//! A fleet of reducers and model runners in virtual time. A runner that begins
//! to answer a request with a deadly part crashes and is back after some
//! seconds.
class crash_simulation
{
public:
    crash_simulation(std::size_t vms, std::size_t runners, std::uint64_t seed);

    //! Adds arrivals between the two times since the start.
    void add_load(crash_load const& load, duration from, duration to);

    void add_deadly_part(std::uint64_t part) { deadly_.insert(part); }

    //! Crashes a runner that no request has crashed, at this time.
    void crash_at(std::size_t runner, duration at);

    //! Breaks off a share of the answers before their first event; the runner
    //! goes on.
    void break_off(double share) { broken_share_ = share; }

    //! Starts a VM anew, without its state.
    void restart_at(std::size_t vm, duration at);

    //! Kills all VMs at once. They are back after a while and read what the
    //! store keeps.
    void kill_all_at(duration at);

    //! The VM receives no messages of the others, and its own are lost.
    void cut_off(std::size_t vm, duration from, duration to);

    void run_until(duration end);

    //! Times since the start at which runners crashed by a request.
    std::vector<duration> const& crashes() const { return crashes_; }

    //! Requests of this path, key and time of arrival: how many there were, and
    //! how many reached a runner. Callers do not return in this simulation.
    struct begun_share
    {
        int requests = 0;
        int begun = 0;

        double value() const
        {
            return requests == 0 ? 1 : double(begun) / requests;
        }
    };
    begun_share sound_requests(std::string const& path, std::string const& key,
                               duration from) const;

    //! To the store, of crashes by content.
    int writes() const { return writes_; }

    //! Sends of requests with a deadly part that reached runners since then.
    int deadly_sends_since(duration from) const;

private:
    struct request_record
    {
        request_traits traits;
        time_point arrived_at{};
        bool deadly = false;
        std::vector<time_point> sent_at; //!< sends that reached a runner
    };

    struct runner_record
    {
        time_point down_until{};
        //! An attempt that the runner executes.
        struct run
        {
            std::size_t vm = 0;
            attempt_ended ended;
            bool head_sent = false;
            bool deadly = false;
        };
        std::map<std::uint64_t, run> runs;
    };

    using action = std::function<void()>;

    std::unique_ptr<reducer> make_reducer(std::size_t vm);
    void introduce(std::size_t vm);
    void at(time_point when, action what);
    void feed(std::size_t vm, event const& input);
    void execute(std::size_t vm, send_attempt const& in);
    void execute(std::size_t vm, send_to_peer const& in);
    void execute(std::size_t vm, store_crash_records const& in);
    template <class Ignored>
    void execute(std::size_t, Ignored const&)
    {
    }
    void begin_answer(std::size_t runner, std::uint64_t run);
    void end_answer(std::size_t runner, std::uint64_t run);
    void crash(std::size_t runner);
    void tick(std::size_t vm);
    bool is_cut_off(std::size_t vm) const;

    std::shared_ptr<manifest const> manifest_;
    void read_crash_records(std::size_t vm);
    void start_all();

    std::vector<std::unique_ptr<reducer>> vms_;
    //! What the store keeps of each VM, and the number of writes.
    std::map<std::size_t, std::vector<stored_crashes>> stored_;
    int writes_ = 0;
    bool all_down_ = false;
    std::vector<member> members_;
    std::vector<runner> runner_entries_;
    std::vector<runner_record> runners_;
    std::map<std::string, std::size_t> runner_by_id_;
    std::multimap<time_point, action> actions_;
    std::map<request_ref, request_record> requests_;
    std::set<std::uint64_t> deadly_;
    std::vector<duration> crashes_;
    struct cut
    {
        std::size_t vm;
        time_point from;
        time_point to;
    };
    std::vector<cut> cuts_;
    double broken_share_ = 0;
    pcg32 random_;
    time_point const start_{std::chrono::seconds(100)};
    time_point now_ = start_;
    std::uint64_t next_run_ = 1;
    request_ref next_request_ = 1;
};

} // namespace buckthornvale::decision::gateway

#endif
