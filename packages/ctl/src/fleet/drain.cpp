#include <buckthornvale/ctl/cli/commands.hpp>
#include <buckthornvale/ctl/cli/json_text.hpp>
#include <buckthornvale/ctl/fleet/vm_status.hpp>

#include <algorithm>
#include <ostream>

namespace buckthornvale::ctl
{

namespace
{

using nlohmann::json;

std::optional<std::uint64_t> in_flight_of(context& with,
                                          std::string const& address)
{
    auto const body = with.vms.get(address, "/v1/status");
    if (!body)
        return std::nullopt;
    auto const document = json::parse(*body, nullptr, false);
    if (!document.is_object() || !document.contains("in_flight") ||
        !document["in_flight"].is_number())
        return std::nullopt;
    return document["in_flight"].get<std::uint64_t>();
}

exit_code wait_until_idle(context& with, objects::platform_vm const& vm)
{
    std::optional<std::uint64_t> shown;
    for (decision::duration waited{};; waited += with.flags.interval)
    {
        auto const in_flight = in_flight_of(with, vm.address);
        // A VM that no longer answers has ended after its drain.
        if (!in_flight || *in_flight == 0)
        {
            with.err << vm.id << " is drained\n";
            return exit_code::success;
        }
        if (in_flight != shown)
        {
            with.err << vm.id << " has " << *in_flight << " requests in flight"
                     << std::endl;
        }
        shown = in_flight;
        if (waited >= with.flags.timeout)
        {
            with.err << "the time limit passed; the VM goes on draining\n";
            return exit_code::not_in_time;
        }
        with.sleep(with.flags.interval);
    }
}

} // namespace

exit_code run_drain(context& with, arguments words)
{
    auto const vms = entry_vms(with);
    if (!vms)
        return exit_code::unavailable;
    auto const vm =
        std::find_if(vms->begin(), vms->end(),
                     [&](auto const& it) { return it.id == words[0]; });
    if (vm == vms->end())
    {
        with.err << "the platform lists no entry VM '" << words[0]
                 << "'; `status` shows the VMs\n";
        return exit_code::not_found;
    }
    if (!with.vms.post(vm->address, "/v1/drain"))
    {
        with.err << vm->id << " at " << vm->address
                 << " did not accept the drain; check that it runs\n";
        return exit_code::unavailable;
    }
    if (with.flags.is_json)
        with.out << json_text(json{{"vm", vm->id}, {"draining", true}});
    else
        with.out << vm->id << " is draining\n";
    return with.flags.waits ? wait_until_idle(with, *vm) : exit_code::success;
}

} // namespace buckthornvale::ctl
