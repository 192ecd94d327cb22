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

std::optional<std::uint64_t> read_in_flight(context& ctx,
                                            std::string const& address)
{
    auto const body = ctx.vms.get(address, "/v1/status");
    if (!body)
        return std::nullopt;
    auto const document = json::parse(*body, nullptr, false);
    if (!document.is_object() || !document.contains("in_flight") ||
        !document["in_flight"].is_number())
        return std::nullopt;
    return document["in_flight"].get<std::uint64_t>();
}

exit_code wait_until_idle(context& ctx, objects::platform_vm const& vm)
{
    std::optional<std::uint64_t> last_shown;
    for (decision::duration waited{};; waited += ctx.flags.interval)
    {
        auto const in_flight = read_in_flight(ctx, vm.address);
        // A VM that no longer responds has completed its drain and exited.
        if (!in_flight || *in_flight == 0)
        {
            ctx.err << vm.id << " is drained\n";
            return exit_code::success;
        }
        if (in_flight != last_shown)
        {
            ctx.err << vm.id << " has " << *in_flight << " requests in flight"
                    << std::endl;
        }
        last_shown = in_flight;
        if (waited >= ctx.flags.timeout)
        {
            ctx.err << "the time limit passed; the VM continues to drain\n";
            return exit_code::timed_out;
        }
        ctx.sleep(ctx.flags.interval);
    }
}

} // namespace

exit_code run_drain(context& ctx, arguments words)
{
    auto const vms = list_entry_vms(ctx);
    if (!vms)
        return exit_code::unavailable;
    auto const vm =
        std::find_if(vms->begin(), vms->end(),
                     [&](auto const& it) { return it.id == words[0]; });
    if (vm == vms->end())
    {
        ctx.err << "the platform lists no entry VM '" << words[0]
                << "'; `status` shows the VMs\n";
        return exit_code::not_found;
    }
    if (!ctx.vms.post(vm->address, "/v1/drain"))
    {
        ctx.err << vm->id << " at " << vm->address
                << " did not accept the drain; check that it runs\n";
        return exit_code::unavailable;
    }
    if (ctx.flags.is_json)
        ctx.out << json_text(json{{"vm", vm->id}, {"draining", true}});
    else
        ctx.out << vm->id << " is draining\n";
    return ctx.flags.waits ? wait_until_idle(ctx, *vm) : exit_code::success;
}

} // namespace buckthornvale::ctl
