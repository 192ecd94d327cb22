#ifndef BUCKTHORNVALE_OBJECTS_OBJECTS_HTTP_OBJECT_API_HPP
#define BUCKTHORNVALE_OBJECTS_OBJECTS_HTTP_OBJECT_API_HPP

#include <buckthornvale/objects/objects/object_api.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <set>

namespace httplib
{
class Client;
class Result;
} // namespace httplib

namespace buckthornvale::objects
{

//! Timeouts of the HTTP client.
struct http_limits
{
    decision::duration connect = std::chrono::seconds(2);
    decision::duration read = std::chrono::seconds(10);
    decision::duration write = std::chrono::seconds(5);
};

//! Object API over HTTP. Each call opens a new connection: on a reused one, a
//! connection that the server had already closed would be indistinguishable
//! from a response lost after the write took effect.
class http_object_api final : public object_api
{
public:
    //! `address` has the form IP:port.
    explicit http_object_api(std::string address, http_limits limits = {});
    ~http_object_api() override;

    read_result<object> get(std::string const& path) override;
    write_result put(std::string const& path, std::uint64_t expected,
                     std::string const& value) override;
    write_result remove(std::string const& path,
                        std::uint64_t expected) override;
    read_result<object_page> list(std::string const& prefix,
                                  std::string const& after,
                                  std::size_t limit) override;
    read_result<object_changes> watch(std::string const& prefix,
                                      std::uint64_t from,
                                      decision::duration timeout) override;
    read_result<std::vector<platform_vm>> vms() override;
    void cancel_watches() override;

private:
    std::unique_ptr<httplib::Client>
    make_client(decision::duration read_timeout) const;

    std::string address_;
    http_limits limits_;
    std::mutex mutex_;
    std::set<httplib::Client*> watch_clients_;
};

} // namespace buckthornvale::objects

#endif
