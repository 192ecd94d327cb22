#ifndef BUCKTHORNVALE_STANDINS_PLATFORM_PLATFORM_SERVER_HPP
#define BUCKTHORNVALE_STANDINS_PLATFORM_PLATFORM_SERVER_HPP

#include "fault_gate.hpp"
#include "object_store.hpp"
#include "vm_list.hpp"

#include <memory>
#include <string>
#include <thread>

namespace httplib
{
class Server;
} // namespace httplib

namespace buckthornvale::standins::platform
{

//! HTTP server of the object API with faults, on the loopback address.
class platform_server
{
public:
    platform_server();
    ~platform_server();
    platform_server(platform_server const&) = delete;
    platform_server& operator=(platform_server const&) = delete;

    //! Binds (0 lets the system choose), serves on a thread of its own and
    //! returns the port; 0 when the port could not be bound.
    int start(int port);

    //! Ends waiting watches and stops serving.
    void stop();

    object_store& store() { return store_; }
    fault_gate& gate() { return gate_; }
    vm_list& vms() { return vms_; }

private:
    class routes;

    object_store store_;
    fault_gate gate_;
    vm_list vms_;
    std::unique_ptr<httplib::Server> server_;
    std::unique_ptr<routes> routes_;
    std::thread thread_;
};

} // namespace buckthornvale::standins::platform

#endif
