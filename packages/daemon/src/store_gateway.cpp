#include <buckthornvale/daemon/store_gateway.hpp>

#include <asio/post.hpp>

#include <algorithm>
#include <utility>

namespace buckthornvale::daemon
{

namespace
{

namespace bookings = decision::bookings;
namespace config = decision::config;
using objects::call_direction;
using objects::call_purpose;
using objects::call_status;

constexpr std::size_t claim_threads = 4;

// Wait before a call that the budget deferred is tried again.
constexpr decision::duration budget_wait = std::chrono::milliseconds(50);

bookings::store_status store_status_of(call_status status)
{
    switch (status)
    {
    case call_status::done:
        return bookings::store_status::ok;
    case call_status::not_found:
        return bookings::store_status::absent;
    case call_status::conflict:
        return bookings::store_status::conflict;
    case call_status::compacted:
    case call_status::not_sent:
    case call_status::unavailable:
    case call_status::rejected:
        return bookings::store_status::unavailable;
    case call_status::unknown:
        break;
    }
    return bookings::store_status::unknown;
}

decision::leases::lease_status lease_status_of(call_status status)
{
    switch (status)
    {
    case call_status::done:
        return decision::leases::lease_status::ok;
    case call_status::not_found:
        return decision::leases::lease_status::absent;
    case call_status::conflict:
        return decision::leases::lease_status::conflict;
    default:
        return decision::leases::lease_status::unknown;
    }
}

config::settings_object object_of(objects::object value, bool deleted)
{
    return {std::move(value.path), value.version, deleted,
            std::move(value.value)};
}

decision::fleet::listed_vm listed_of(objects::platform_vm const& vm)
{
    decision::fleet::listed_vm listed;
    listed.name = vm.id;
    listed.address = vm.address;
    listed.peer_address = vm.peer_address;
    listed.failure_domain = vm.failure_domain;
    listed.role = vm.role == objects::vm_role::entry
                      ? decision::fleet::member_role::entry
                      : decision::fleet::member_role::runner;
    listed.leaving = vm.is_leaving;
    return listed;
}

} // namespace

store_gateway::store_gateway(objects::object_api& api,
                             objects::shared_store_budget& budget,
                             event_queue& events)
    : api_(api), budget_(budget), events_(events), claims_(claim_threads),
      settings_(1), status_(1), leases_(1)
{
}

store_gateway::~store_gateway()
{
    {
        std::lock_guard const lock(mutex_);
        stopping_ = true;
    }
    condition_.notify_all();
    claims_.stop();
    settings_.stop();
    status_.stop();
    leases_.stop();
    // A watch that is just starting can miss the cancel; the loop ends when
    // its thread has.
    std::atomic<bool> joined{false};
    std::thread canceller(
        [&]
        {
            while (!joined)
            {
                api_.cancel_watches();
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
            }
        });
    settings_.join();
    joined = true;
    canceller.join();
    claims_.join();
    status_.join();
    leases_.join();
    if (vm_list_.joinable())
        vm_list_.join();
}

bool store_gateway::wait(decision::duration length)
{
    std::unique_lock lock(mutex_);
    condition_.wait_for(lock, length, [this] { return stopping_.load(); });
    return !stopping_;
}

bool store_gateway::permitted(call_purpose purpose, call_direction direction)
{
    return budget_.acquire(purpose, direction).is_granted;
}

bool store_gateway::await_settings_read()
{
    while (!permitted(call_purpose::settings, call_direction::read))
    {
        if (!wait(budget_wait))
            return false;
    }
    return true;
}

void store_gateway::report(call_purpose purpose, call_status status)
{
    bool const failed = status == call_status::not_sent ||
                        status == call_status::unavailable ||
                        status == call_status::unknown;
    if (failed)
        budget_.failed(purpose);
    else
        budget_.succeeded(purpose);
}

store_gateway::call_result store_gateway::read(call_purpose purpose,
                                               std::string const& path)
{
    call_result result;
    if (!permitted(purpose, call_direction::read))
        return result;
    auto read = api_.get(path);
    report(purpose, read.status);
    result.status = read.status;
    result.version = read.value.version;
    result.value = std::move(read.value.value);
    return result;
}

template <class Call>
store_gateway::call_result store_gateway::write(call_purpose purpose,
                                                Call const& call)
{
    call_result result;
    if (!permitted(purpose, call_direction::write))
        return result;
    objects::write_result written = call();
    report(purpose, written.status);
    result.status = written.status;
    result.version = written.version;
    if (written.current)
    {
        result.version = written.current->version;
        result.value = std::move(written.current->value);
    }
    return result;
}

void store_gateway::answer_claim(bookings::store_token token,
                                 call_result result)
{
    bookings::store_answer answer;
    answer.token = token;
    answer.status = store_status_of(result.status);
    answer.version = result.version;
    answer.value = std::move(result.value);
    events_.post(std::move(answer));
}

void store_gateway::answer_lease(decision::pool_id pool, std::uint64_t call,
                                 call_result result)
{
    decision::lease_call_answered answer;
    answer.pool = pool;
    answer.call = call;
    answer.status = lease_status_of(result.status);
    answer.version = result.version;
    answer.value = std::move(result.value);
    events_.post(std::move(answer));
}

void store_gateway::execute(bookings::read_object call)
{
    asio::post(
        claims_, [this, call = std::move(call)]
        { answer_claim(call.token, read(call_purpose::claim, call.path)); });
}

void store_gateway::execute(bookings::write_object call)
{
    asio::post(claims_,
               [this, call = std::move(call)]
               {
                   auto const put = [&] {
                       return api_.put(call.path, call.expected_version,
                                       call.value);
                   };
                   answer_claim(call.token, write(call_purpose::claim, put));
               });
}

void store_gateway::execute(bookings::delete_object call)
{
    asio::post(claims_,
               [this, call = std::move(call)]
               {
                   auto const remove = [&]
                   { return api_.remove(call.path, call.expected_version); };
                   answer_claim(call.token, write(call_purpose::claim, remove));
               });
}

void store_gateway::execute(decision::read_lease_object call)
{
    asio::post(leases_,
               [this, call = std::move(call)] {
                   answer_lease(call.pool, call.call,
                                read(call_purpose::lease, call.path));
               });
}

void store_gateway::execute(decision::write_lease_object call)
{
    asio::post(
        leases_,
        [this, call = std::move(call)]
        {
            auto const put = [&]
            { return api_.put(call.path, call.expected_version, call.value); };
            answer_lease(call.pool, call.call, write(call_purpose::lease, put));
        });
}

void store_gateway::execute(config::list_objects call)
{
    asio::post(settings_,
               [this, call = std::move(call)]
               {
                   if (!await_settings_read())
                       return;
                   auto result = api_.list(call.prefix, call.after, call.limit);
                   report(call_purpose::settings, result.status);
                   if (!result.is_done())
                   {
                       events_.post(decision::settings_call_failed{call.token});
                       return;
                   }
                   config::list_answer answer;
                   answer.token = call.token;
                   answer.revision = result.value.revision;
                   answer.next = result.value.next.value_or("");
                   for (auto& it : result.value.items)
                       answer.items.push_back(object_of(std::move(it), false));
                   events_.post(std::move(answer));
               });
}

void store_gateway::execute(config::watch_objects call)
{
    asio::post(
        settings_,
        [this, call = std::move(call)]
        {
            if (!await_settings_read())
                return;
            auto result = api_.watch(call.prefix, call.from, call.timeout);
            report(call_purpose::settings, result.status);
            if (result.status == call_status::compacted)
            {
                events_.post(decision::watch_revision_compacted{call.token});
                return;
            }
            if (!result.is_done())
            {
                events_.post(decision::settings_call_failed{call.token});
                return;
            }
            config::watch_answer answer;
            answer.token = call.token;
            answer.revision = result.value.revision;
            for (auto& it : result.value.events)
            {
                answer.events.push_back(
                    object_of(std::move(it.changed), it.is_delete));
            }
            events_.post(std::move(answer));
        });
}

void store_gateway::start_vm_list(decision::duration period)
{
    vm_list_ = std::thread(
        [this, period]
        {
            do
                read_vm_list();
            while (wait(period));
        });
}

void store_gateway::read_vm_list()
{
    if (!permitted(call_purpose::vm_list, call_direction::read))
        return;
    auto const result = api_.vms();
    report(call_purpose::vm_list, result.status);
    if (!result.is_done())
        return;
    decision::vm_list_read read;
    std::size_t entries = 0;
    for (auto const& it : result.value)
    {
        read.vms.push_back(listed_of(it));
        entries += it.role == objects::vm_role::entry ? 1 : 0;
    }
    budget_.set_live_vms(std::max<std::size_t>(entries, 1));
    events_.post(std::move(read));
}

void store_gateway::offer_status(std::string const& path, std::string value)
{
    budget_.offer_status(std::move(value));
    asio::post(status_,
               [this, path]
               {
                   if (auto const due = budget_.take_status())
                       write_status(path, *due);
               });
}

void store_gateway::write_status(std::string const& path,
                                 std::string const& value)
{
    auto result = api_.put(path, status_version_, value);
    report(call_purpose::status, result.status);
    if (result.is_done())
        status_version_ = result.version;
    else if (result.status == call_status::conflict)
        status_version_ = result.current ? result.current->version : 0;
}

} // namespace buckthornvale::daemon
