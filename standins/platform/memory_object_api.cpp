#include "memory_object_api.hpp"

#include <algorithm>
#include <thread>

namespace buckthornvale::standins::platform
{

namespace api = buckthornvale::objects;

namespace
{

constexpr std::size_t largest_value = 1U << 20U; // bytes, design 1.5

api::object to_object(stored_object const& value)
{
    return {value.path, value.version, value.value};
}

} // namespace

api::call_status memory_object_api::enter(call_kind kind)
{
    if (is_refusing_)
        return api::call_status::not_sent;
    auto const verdict = gate_.enter(kind, fault_gate::clock::now());
    std::this_thread::sleep_for(gate_.delay());
    return verdict == admission::pass ? api::call_status::done
                                      : api::call_status::unavailable;
}

api::read_result<api::object> memory_object_api::get(std::string const& path)
{
    api::read_result<api::object> result;
    result.status = enter(call_kind::get);
    if (!result.is_done())
        return result;
    auto const found = store_.get(path);
    if (found)
        result.value = to_object(*found);
    else
        result.status = api::call_status::not_found;
    return result;
}

api::write_result memory_object_api::put(std::string const& path,
                                         std::uint64_t expected,
                                         std::string const& value)
{
    api::write_result result;
    result.status = enter(call_kind::put);
    if (!result.is_done())
        return result;
    if (value.size() > largest_value)
    {
        result.status = api::call_status::rejected;
        return result;
    }
    return finish_write(store_.put(path, expected, value));
}

api::write_result memory_object_api::remove(std::string const& path,
                                            std::uint64_t expected)
{
    api::write_result result;
    result.status = enter(call_kind::remove);
    if (!result.is_done())
        return result;
    return finish_write(store_.remove(path, expected));
}

api::write_result memory_object_api::finish_write(write_result const& done)
{
    api::write_result result;
    if (gate_.loses_answer())
        return result;
    result.status =
        done.is_done ? api::call_status::done : api::call_status::conflict;
    result.version = done.version;
    if (done.current)
        result.current = to_object(*done.current);
    return result;
}

api::read_result<api::object_page>
memory_object_api::list(std::string const& prefix, std::string const& after,
                        std::size_t limit)
{
    api::read_result<api::object_page> result;
    result.status = enter(call_kind::list);
    if (!result.is_done())
        return result;
    auto const page =
        store_.list(prefix, after, std::max<std::size_t>(limit, 1));
    for (auto const& it : page.items)
        result.value.items.push_back(to_object(it));
    result.value.next = page.next;
    result.value.revision = page.revision;
    return result;
}

api::read_result<api::object_changes>
memory_object_api::watch(std::string const& prefix, std::uint64_t from,
                         decision::duration timeout)
{
    api::read_result<api::object_changes> result;
    result.status = enter(call_kind::watch);
    if (!result.is_done())
        return result;
    auto const seen = store_.watch(
        prefix, from,
        std::chrono::duration_cast<std::chrono::milliseconds>(timeout));
    if (gate_.is_outage())
        result.status = api::call_status::unavailable;
    else if (seen.is_compacted)
        result.status = api::call_status::compacted;
    else if (seen.is_interrupted)
        result.status = api::call_status::unknown;
    result.value.revision = seen.revision;
    for (auto const& it : seen.events)
        result.value.events.push_back({it.is_delete, to_object(it.object)});
    return result;
}

api::read_result<std::vector<api::platform_vm>> memory_object_api::vms()
{
    api::read_result<std::vector<api::platform_vm>> result;
    result.status = enter(call_kind::vms);
    if (!result.is_done())
        return result;
    for (auto const& it : vms_.list(vm_list::clock::now()))
    {
        result.value.push_back(
            {it.id,
             it.role == "runner" ? api::vm_role::runner : api::vm_role::entry,
             it.address, it.peer_address, it.failure_domain,
             it.state == "leaving"});
    }
    return result;
}

void memory_object_api::cancel_watches()
{
    store_.interrupt();
}

} // namespace buckthornvale::standins::platform
