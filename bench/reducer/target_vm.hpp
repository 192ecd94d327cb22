#ifndef BUCKTHORNVALE_BENCH_REDUCER_TARGET_VM_HPP
#define BUCKTHORNVALE_BENCH_REDUCER_TARGET_VM_HPP

#include <buckthornvale/decision/reducer/reducer.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace buckthornvale::bench
{

//! Sizes of the target, design 1.4.
constexpr std::size_t target_vms = 330;
constexpr std::size_t target_organisations = 48'000;
constexpr std::size_t target_pipelines = 33;
constexpr std::size_t model_pools = 27;
constexpr std::size_t runners_per_model_pool = 24;
constexpr std::size_t service_pools = 2;
constexpr std::size_t runners_per_service_pool = 31; // 710 runners in all
constexpr std::size_t failure_domains = 7;

//! Settings with pipelines of 3 to 6 stages. Pipeline 0 is a booking: its
//! last stage runs at most once.
decision::fleet_settings
target_settings(std::size_t organisations = target_organisations);

//! Number of entry VMs in the VM list of a `target_vm`.
enum class fleet_size
{
    alone,
    target
};

//! A reducer with the target's settings and VM list in force, driven with
//! virtual time. Store calls succeed when `settle` is called.
class target_vm
{
public:
    explicit target_vm(fleet_size size);

    //! Reduces one event; returns the seconds that the step took.
    double timed(decision::event const& value);

    //! Reduces one event, not timed.
    void post(decision::event const& value);

    //! Lets time pass in ticks of 10 ms.
    void advance(decision::duration length);

    //! Answers store calls until none is left.
    void settle();

    //! A request of an organisation and pipeline that change with each call.
    decision::requests::request_received next_request();

    //! A booking; its key is `booking-<counter>`.
    decision::requests::request_received next_booking();

    //! The completion of an attempt.
    static decision::requests::attempt_ended
    completion(decision::requests::start_attempt const& attempt);

    //! Takes the oldest attempt that was started.
    decision::requests::start_attempt take_attempt();

    //! Completes attempts until no request is in flight.
    void drain_requests();

    //! The VM list of the target: entry VMs and runners, one runner leaving
    //! when `one_leaves`.
    decision::vm_list_read vm_list(bool one_leaves = false) const;

    //! Connected peers.
    std::vector<decision::vm_id> const& peers() const { return peers_; }
    decision::fleet_settings const& settings() const { return settings_; }
    decision::fleet_settings& settings() { return settings_; }
    decision::wall_time wall() const { return wall_; }
    decision::reducer const& reducer() const { return reducer_; }

    //! Last list or watch call of the settings state.
    decision::config::call_token settings_call = 0;
    std::vector<decision::requests::start_attempt> attempts;
    std::vector<decision::event> store_calls; //!< answers to be given
    std::vector<decision::bookings::shard_update> forwarded;

private:
    void collect(decision::effects& out);
    void load_settings_texts();
    void connect_peers();

    fleet_size size_;
    decision::fleet_settings settings_;
    decision::reducer reducer_;
    decision::time_point now_{};
    decision::wall_time wall_{std::chrono::hours(500'000)};
    std::uint64_t next_request_ = 0;
    std::uint64_t version_ = 0;
    std::vector<decision::vm_id> peers_;
};

} // namespace buckthornvale::bench

#endif
