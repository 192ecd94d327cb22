#ifndef BUCKTHORNVALE_DAEMON_STORE_GATEWAY_HPP
#define BUCKTHORNVALE_DAEMON_STORE_GATEWAY_HPP

#include <buckthornvale/daemon/event_queue.hpp>
#include <buckthornvale/decision/reducer/effect.hpp>
#include <buckthornvale/objects/budget/shared_store_budget.hpp>
#include <buckthornvale/objects/objects/object_api.hpp>

#include <asio/thread_pool.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>

namespace buckthornvale::daemon
{

//! Executes the reducer's store calls within this VM's budget and posts their
//! answers. Claims have threads of their own, so that a waiting watch does not
//! hold them up.
class store_gateway
{
public:
    store_gateway(objects::object_api& api,
                  objects::shared_store_budget& budget, event_queue& events);
    //! Ends waiting calls; answers that come later are dropped.
    ~store_gateway();

    void execute(decision::bookings::read_object call);
    void execute(decision::bookings::write_object call);
    void execute(decision::bookings::delete_object call);
    void execute(decision::read_lease_object call);
    void execute(decision::write_lease_object call);
    void execute(decision::config::list_objects call);
    void execute(decision::config::watch_objects call);

    //! Reads the platform's list of VMs every `period` until the end.
    void start_vm_list(decision::duration period);

    //! Writes the status object of this VM when the budget lets it.
    void offer_status(std::string const& path, std::string value);

private:
    //! What became of one call. A call that the budget held back was not sent.
    struct call_result
    {
        objects::call_status status = objects::call_status::unavailable;
        std::uint64_t version = 0;
        std::string value;
    };

    bool permitted(objects::call_purpose purpose,
                   objects::call_direction direction);
    //! Waits until the budget lets a settings read; false when stopping.
    bool await_settings_read();
    void report(objects::call_purpose purpose, objects::call_status status);
    call_result read(objects::call_purpose purpose, std::string const& path);
    template <class Call>
    call_result write(objects::call_purpose purpose, Call const& call);
    void answer_claim(decision::bookings::store_token token,
                      call_result result);
    void answer_lease(decision::pool_id pool, std::uint64_t call,
                      call_result result);
    void read_vm_list();
    void write_status(std::string const& path, std::string const& value);
    bool wait(decision::duration length);

    objects::object_api& api_;
    objects::shared_store_budget& budget_;
    event_queue& events_;
    std::uint64_t status_version_ = 0;
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::condition_variable condition_;
    asio::thread_pool claims_;
    asio::thread_pool settings_;
    asio::thread_pool status_;
    asio::thread_pool leases_;
    std::thread vm_list_;
};

} // namespace buckthornvale::daemon

#endif
