#ifndef BUCKTHORNVALE_STANDINS_PLATFORM_MEMORY_OBJECT_API_HPP
#define BUCKTHORNVALE_STANDINS_PLATFORM_MEMORY_OBJECT_API_HPP

#include "fault_gate.hpp"
#include "object_store.hpp"
#include "vm_list.hpp"
#include <buckthornvale/objects/objects/object_api.hpp>

#include <atomic>

namespace buckthornvale::standins::platform
{

//! Fake of the object API over the stand-in's store, without HTTP. The
//! contract tests of the platform package run against it too.
class memory_object_api final : public buckthornvale::objects::object_api
{
public:
    //! The references must outlive the fake.
    memory_object_api(object_store& store, fault_gate& gate, vm_list& vms)
        : store_(store), gate_(gate), vms_(vms)
    {
    }

    //! While true every call is refused as a closed port refuses it.
    void set_refusing(bool value) { is_refusing_ = value; }

    buckthornvale::objects::read_result<buckthornvale::objects::object>
    get(std::string const& path) override;
    buckthornvale::objects::write_result put(std::string const& path,
                                             std::uint64_t expected,
                                             std::string const& value) override;
    buckthornvale::objects::write_result
    remove(std::string const& path, std::uint64_t expected) override;
    buckthornvale::objects::read_result<buckthornvale::objects::object_page>
    list(std::string const& prefix, std::string const& after,
         std::size_t limit) override;
    buckthornvale::objects::read_result<buckthornvale::objects::object_changes>
    watch(std::string const& prefix, std::uint64_t from,
          decision::duration timeout) override;
    buckthornvale::objects::read_result<
        std::vector<buckthornvale::objects::platform_vm>>
    vms() override;
    void cancel_watches() override;

private:
    buckthornvale::objects::call_status enter(call_kind kind);
    buckthornvale::objects::write_result
    finish_write(write_result const& result);

    object_store& store_;
    fault_gate& gate_;
    vm_list& vms_;
    std::atomic<bool> is_refusing_{false};
};

} // namespace buckthornvale::standins::platform

#endif
