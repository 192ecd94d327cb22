#ifndef BUCKTHORNVALE_TESTS_SYSTEM_SUPPORT_FLEET_HPP
#define BUCKTHORNVALE_TESTS_SYSTEM_SUPPORT_FLEET_HPP

#include "support/client.hpp"
#include "support/process.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>

namespace buckthornvale::tests
{

//! A runner stand-in and the values of its entry in the pool settings.
struct runner
{
    std::string name;
    bool leaving = false;
    std::unique_ptr<process> program;

    std::string address() const { return program->address_after("listening"); }
};

struct pool
{
    std::string kind; //!< engine, service
    std::string settings;
    std::vector<runner> runners;
};

struct vm
{
    std::string name;
    std::string failure_domain;
    std::unique_ptr<process> program;

    std::string http_address() const { return program->address_after("http"); }
};

//! Runs a platform stand-in, pools of runner stand-ins and entry VMs as child
//! processes. The pools are `encoders`, `retrievers`, `rerankers` and
//! `assistants` (engines) and `bookings` (services). The pipelines are `lookup`
//! (stage encode), `booking` (book), `talk` (generate) and `answer` (encode,
//! retrieve, rerank, generate).
class fleet
{
public:
    explicit fleet(std::size_t vm_count, std::size_t runners_per_pool = 2);
    ~fleet();

    //! Starts another VM and does not wait until it is ready.
    vm& start_vm();
    //! Waits until each running VM is ready and reports all running VMs as
    //! live.
    void await_ready();
    //! Waits until each VM has received six messages per peer.
    void await_peer_links();
    //! Sets the VM's entry in the platform's list of VMs.
    void publish_vm_state(vm const& target, std::string const& state);

    //! Overwrites the current version of an object. Returns the new version.
    std::uint64_t write_object(std::string const& path,
                               std::string const& value);
    //! Writes the settings object of a pool. Returns its new version.
    std::uint64_t write_pool_settings(std::string const& name);
    void await_settings_revision(std::uint64_t at_least);
    std::uint64_t settings_revision(vm const& target) const;

    std::string platform_address() const;
    void set_platform_faults(json const& body) const;
    static void set_faults(runner const& target, json const& body);

    //! Sums the counts that GET /executions returns in `member` (`by_request`
    //! or `by_key`) over the running runners of a pool.
    std::map<std::string, std::uint64_t>
    executions(std::string const& pool_name, char const* member) const;
    static std::uint64_t total_executions(runner const& target);

    std::map<std::string, pool> pools;
    std::vector<vm> vms;

private:
    void add_pool(std::string const& name, std::string const& kind,
                  std::string const& settings, std::size_t count,
                  std::vector<std::string> const& flags);
    std::string log_path(std::string const& name) const;

    std::string directory_;
    std::unique_ptr<process> platform_;
    std::size_t next_vm_ = 1;
};

//! Identifies a booking; all its repeats send the same values.
struct booking
{
    std::string key;
    std::int64_t issued_at_ms;

    json body() const;
};

booking make_booking(std::string const& key);

//! Calls `action(i)` for 0 <= i < count on `threads` threads. The
//! threads take the values of i in increasing order.
void run_concurrently(std::size_t threads, std::size_t count,
                      std::function<void(std::size_t)> const& action);

} // namespace buckthornvale::tests

#endif
