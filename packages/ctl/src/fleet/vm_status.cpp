#include <buckthornvale/ctl/fleet/vm_status.hpp>

#include <algorithm>
#include <atomic>
#include <thread>

namespace buckthornvale::ctl
{

namespace
{

// Bounds the concurrent connections of one command; the target fleet size is
// 710 runners.
constexpr std::size_t max_threads = 16;

void parse_status_document(vm_status& status, std::string const& body)
{
    status.document = nlohmann::json::parse(body, nullptr, false);
    if (!status.document.is_object())
        return;
    auto const revision = status.document.find("settings_revision");
    if (revision != status.document.end() && revision->is_number_unsigned())
        status.revision = revision->get<std::uint64_t>();
}

} // namespace

std::optional<std::vector<objects::platform_vm>> list_entry_vms(context& ctx)
{
    auto listed = ctx.store.vms();
    if (!listed.is_done())
    {
        ctx.err << "the platform did not list the VMs ("
                << name_of(listed.status) << "); try again later\n";
        return std::nullopt;
    }
    auto& vms = listed.value;
    vms.erase(std::remove_if(vms.begin(), vms.end(),
                             [](auto const& it)
                             { return it.role != objects::vm_role::entry; }),
              vms.end());
    return std::move(vms);
}

std::vector<vm_status>
read_statuses(context& ctx, std::vector<objects::platform_vm> const& vms)
{
    std::vector<vm_status> statuses(vms.size());
    parallel_for(vms.size(),
                 [&](std::size_t i)
                 {
                     statuses[i].vm = vms[i];
                     if (auto const body =
                             ctx.vms.get(vms[i].address, "/v1/status"))
                     {
                         statuses[i].is_answering = true;
                         parse_status_document(statuses[i], *body);
                     }
                     if (statuses[i].revision)
                         return;
                     auto const stored = ctx.store.get("status/" + vms[i].id);
                     if (stored.is_done())
                         parse_status_document(statuses[i], stored.value.value);
                 });
    return statuses;
}

void parallel_for(std::size_t n, std::function<void(std::size_t)> const& task)
{
    std::atomic<std::size_t> next{0};
    auto const work = [&]
    {
        for (auto i = next++; i < n; i = next++)
            task(i);
    };
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < std::min(n, max_threads); ++i)
        threads.emplace_back(work);
    for (auto& it : threads)
        it.join();
}

} // namespace buckthornvale::ctl
