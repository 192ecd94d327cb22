#ifndef BUCKTHORNVALE_TESTS_SOAK_SOAK_HPP
#define BUCKTHORNVALE_TESTS_SOAK_SOAK_HPP

#include "gateway_vm.hpp"
#include "request_ledger.hpp"
#include "soak_caller.hpp"
#include "soak_runner.hpp"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <standins/fleet_platform/store_standin.hpp>

namespace buckthornvale::soak
{

//! Size and length of a run.
struct soak_options
{
    std::string program; //!< the gateway
    std::string folder;  //!< for settings and logs of the VMs
    std::uint64_t seed = 1;
    std::size_t vms = 3;
    std::size_t callers = 24;
    std::chrono::seconds time{20}; //!< with faults
};

//! Runs gateways as processes of their own against stand-ins for the store and
//! the runners, with callers that keep their connections, and injects faults
//! in series that overlap. The seed decides all faults, but not their timing
//! against the processes.
class soak
{
public:
    explicit soak(soak_options options);
    ~soak();

    //! Returns the promises that were broken.
    std::vector<std::string> run();

    std::string summary() const;

private:
    using fault = void (soak::*)(time_point);

    struct named_fault
    {
        char const* name;
        fault inject;
    };

    static named_fault const faults[];

    void change_manifest(time_point now);
    void reload_vm(time_point now);
    void stop_vm(time_point now);
    void kill_vm(time_point now);
    void pause_vm(time_point now);
    void silence_runner(time_point now);
    void fill_runner(time_point now);
    //! Most runners answer with bytes without end.
    void spoil_runners(time_point now);
    //! One runner breaks the protocol.
    void disturb_runner(time_point now);
    //! Most runners break the protocol in the same way.
    void disturb_runners(time_point now);
    //! One runner starts again, mostly under another id, at its address. The
    //! former entry lapses some seconds later.
    void restart_runner(time_point now);
    //! One runner is silent while all others are full.
    void silence_runner_under_load(time_point now);
    void stop_store(time_point now);
    void silence_store(time_point now);
    void compact_store(time_point now);
    void lose_watches(time_point now);
    //! The store is away for a moment and comes back from a copy; operator and
    //! runners write again some time later.
    void restore_store(time_point now);

    void start_fleet();
    void put_manifest();
    void save_copy_later(time_point now);
    void write_again();
    void remove_former_entries();
    void plan_series(time_point now);
    void at(time_point when, std::function<void(time_point)> action);
    void run_due_actions(time_point now);
    void check_memory();
    void restart_ended_vms(time_point now);
    void step(bool may_send);
    bool any_caller_waits() const;
    gateway_vm& random_vm();
    soak_runner& random_runner();
    runner_fault random_fault();
    void disturb_most(runner_fault kind, time_point until);
    std::chrono::milliseconds random_time(int min_ms, int max_ms);

    soak_options const options_;
    std::mt19937_64 random_;
    asio::io_context loop_;
    standins::fleet_platform::store_standin store_{loop_};
    request_ledger ledger_;
    result_ledger results_{ledger_};
    std::vector<std::unique_ptr<soak_runner>> runners_;
    std::vector<std::unique_ptr<gateway_vm>> vms_;
    std::vector<std::unique_ptr<soak_caller>> callers_;
    std::multimap<time_point, std::function<void(time_point)>> actions_;
    std::map<std::string, std::size_t> injected_; //!< faults by name
    std::map<gateway_vm const*, time_point> restart_at_;
    duration idle_timeout_;
    //! Store, runners and callers stand still during a step.
    duration longest_step_{};
    time_point stepped_at_{};
    int manifest_version_ = 0;
    nlohmann::json manifest_; //!< the last one
    std::vector<std::string> former_runner_ids_;
};

} // namespace buckthornvale::soak

#endif
