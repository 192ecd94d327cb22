#ifndef BUCKTHORNVALE_STANDINS_PLATFORM_VM_LIST_HPP
#define BUCKTHORNVALE_STANDINS_PLATFORM_VM_LIST_HPP

#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace buckthornvale::standins::platform
{

//! One VM of the platform's list.
struct listed_vm
{
    std::string id;
    std::string role = "entry"; //!< entry, runner
    std::string address;        //!< IP:port of the HTTP front end
    std::string peer_address;   //!< IP:port of the peer link
    std::string failure_domain;
    std::string state = "live"; //!< live, leaving; gone removes it
};

//! The platform's list of VMs, shown with a lag. Thread-safe.
class vm_list
{
public:
    using clock = std::chrono::steady_clock;

    void set_lag(std::chrono::milliseconds value);
    void put(listed_vm vm, clock::time_point now);
    void replace(std::vector<listed_vm> vms, clock::time_point now);

    //! The list as it was one lag ago.
    std::vector<listed_vm> list(clock::time_point now) const;

private:
    using by_id = std::map<std::string, listed_vm>;

    void append(by_id next, clock::time_point now);

    mutable std::mutex mutex_;
    std::chrono::milliseconds lag_{0};
    std::deque<std::pair<clock::time_point, by_id>> states_;
};

} // namespace buckthornvale::standins::platform

#endif
