#ifndef BUCKTHORNVALE_CTL_FLEET_VM_CLIENT_HPP
#define BUCKTHORNVALE_CTL_FLEET_VM_CLIENT_HPP

#include <optional>
#include <string>
#include <utility>

namespace buckthornvale::ctl
{

//! Calls of VMs and runners over HTTP. Called from several threads.
class vm_client
{
public:
    vm_client() = default;
    vm_client(vm_client const&) = delete;
    vm_client& operator=(vm_client const&) = delete;
    virtual ~vm_client() = default;

    //! Body of a response with status 200, else nothing.
    virtual std::optional<std::string> get(std::string const& address,
                                           std::string const& target) = 0;

    //! True when the response has a status of 2xx.
    virtual bool post(std::string const& address,
                      std::string const& target) = 0;
};

//! The real client.
class http_vm_client final : public vm_client
{
public:
    //! `operator_key` is sent as the bearer key; empty: none is sent.
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
