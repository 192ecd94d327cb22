#include <buckthornvale/gateway/store/crash_record_writer.hpp>

#include <algorithm>
#include <utility>

namespace buckthornvale::gateway::store
{

namespace
{

using namespace std::chrono_literals;

//! Time from an acknowledgement until the next write, which may carry several
//! crashes then.
constexpr net::duration write_pause = 300ms;

constexpr net::duration min_retry_delay = 100ms;
constexpr std::uint32_t max_retry_doublings = 3;

constexpr int status_not_found = 404;
constexpr int status_conflict = 409;

bool is_success(int status)
{
    return status >= 200 && status < 300;
}

int status_of(net::call_result const& result)
{
    return result.failure ? 0 : result.head.status;
}

} // namespace

crash_record_writer::crash_record_writer(asio::io_context& loop,
                                         std::string vm_name,
                                         callback_set callbacks)
    : vm_name_(std::move(vm_name)), callbacks_(std::move(callbacks)),
      timer_(loop)
{
}

void crash_record_writer::write(record_list records)
{
    wanted_ = std::move(records);
    changed_ = true;
    send();
}

void crash_record_writer::set_revision(std::optional<std::uint64_t> revision)
{
    revision_ = revision;
}

void crash_record_writer::store_restored()
{
    revision_.reset();
    former_objects_.clear();
    changed_ = changed_ || !wanted_.empty();
    send();
}

platform::store_request crash_record_writer::next_request() const
{
    if (!revision_)
        return platform::create_crash_records_request(vm_name_, wanted_);
    if (wanted_.empty())
        return platform::delete_crash_records_request(vm_name_, *revision_);
    return platform::replace_crash_records_request(vm_name_, wanted_,
                                                   *revision_);
}

void crash_record_writer::send()
{
    if (!changed_ || calling_ || waiting_)
        return;
    changed_ = false;
    if (wanted_.empty() && !revision_)
        return;
    calling_ = true;
    deleting_ = wanted_.empty();
    callbacks_.call(next_request(), [this](net::call_result const& result)
                    { handle_response(result); });
}

void crash_record_writer::send_later()
{
    auto const doublings = std::min(failed_calls_, max_retry_doublings);
    auto const pause = failed_calls_ == 0
                           ? write_pause
                           : min_retry_delay * (1U << doublings) / 2;
    waiting_ = true;
    timer_.start(pause,
                 [this]
                 {
                     waiting_ = false;
                     send();
                 });
}

void crash_record_writer::handle_response(net::call_result const& result)
{
    calling_ = false;
    int const status = status_of(result);
    if (is_success(status))
    {
        failed_calls_ = 0;
        auto const object = platform::decode_object(result.body);
        bool const kept = object && object->name == vm_name_;
        revision_ = kept && !deleting_
                        ? std::optional<std::uint64_t>(object->revision)
                        : std::nullopt;
        callbacks_.acknowledged(wanted_.size());
        if (!changed_)
            delete_former_objects();
        send_later();
        return;
    }
    ++failed_calls_;
    changed_ = true;
    callbacks_.repeated(status);
    if (status == status_not_found)
        revision_.reset();
    send_later();
    if (status == status_conflict)
        handle_conflict(result.body);
}

void crash_record_writer::handle_conflict(std::string_view body)
{
    auto const object = platform::decode_object(body);
    if (!object)
    {
        revision_.reset();
        return;
    }
    revision_ = object->revision;
    callbacks_.found(platform::decode_crash_records(*object));
}

void crash_record_writer::take_over(std::string const& vm_name)
{
    callbacks_.call(
        platform::read_crash_records_request(vm_name),
        [this, vm_name](net::call_result const& result)
        {
            auto const object = is_success(status_of(result))
                                    ? platform::decode_object(result.body)
                                    : std::nullopt;
            if (!object || object->name != vm_name)
                return;
            former_objects_.push_back({vm_name, object->revision});
            callbacks_.found(platform::decode_crash_records(*object));
            if (!changed_ && !calling_)
                delete_former_objects();
        });
}

void crash_record_writer::delete_former_objects()
{
    // One that is not deleted stays, and is listed by VMs that start.
    for (auto const& it : std::exchange(former_objects_, {}))
        callbacks_.call(
            platform::delete_crash_records_request(it.vm_name, it.revision),
            [](net::call_result const&) {});
}

} // namespace buckthornvale::gateway::store
