#ifndef BUCKTHORNVALE_CTL_FLEET_VM_CLIENT_HPP
#define BUCKTHORNVALE_CTL_FLEET_VM_CLIENT_HPP

#include <optional>
#include <string>
#include <utility>

namespace buckthornvale::ctl
{

//! Client for the HTTP APIs of VMs and runners. Implementations must be
//! thread-safe.
class vm_client
{
public:
    vm_client() = default;
    vm_client(vm_client const&) = delete;
    vm_client& operator=(vm_client const&) = delete;
    virtual ~vm_client() = default;

    //! Returns the body of a response with status 200, else nullopt.
    virtual std::optional<std::string> get(std::string const& address,
                                           std::string const& target) = 0;

    //! Returns true if the response has a 2xx status.
    virtual bool post(std::string const& address,
                      std::string const& target) = 0;
};

//! Client that opens a connection for each call.
class http_vm_client final : public vm_client
{
public:
    //! Sends `operator_key` as the bearer token unless it is empty.
    explicit http_vm_client(std::string operator_key)
        : operator_key_(std::move(operator_key))
    {
    }

    std::optional<std::string> get(std::string const& address,
                                   std::string const& target) override;
    bool post(std::string const& address, std::string const& target) override;

private:
    std::string operator_key_;
};

} // namespace buckthornvale::ctl

#endif
