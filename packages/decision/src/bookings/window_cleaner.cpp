#include <buckthornvale/decision/bookings/window_cleaner.hpp>
#include <buckthornvale/decision/fleet/rendezvous.hpp>

namespace buckthornvale::decision::bookings
{

namespace
{

// Tokens of the cleaner are odd, those of the committer even.
constexpr store_token token_step = 2;

// Maximum number of other VMs' shards skipped per step, which bounds its time.
constexpr int max_skips = 1024;

} // namespace

window_cleaner::window_cleaner(booking_settings const& settings)
    : settings_(settings)
{
}

bool window_cleaner::advance_cursor(std::uint64_t first_kept_window,
                                    absl::Span<vm_id const> live)
{
    for (int i = 0; i < max_skips && cursor_.window < first_kept_window; ++i)
    {
        current_ = cursor_;
        if (++cursor_.shard >= settings_.shards)
            cursor_ = {cursor_.window + 1, 0};
        auto const owner = fleet::rendezvous_owner(path_of(current_), live);
        if (owner == settings_.self)
            return true;
    }
    return false;
}

void window_cleaner::tick(time_point now, wall_time wall,
                          absl::Span<vm_id const> live, booking_effects& out)
{
    if (token_ != 0 && now - call_started_ < settings_.store_timeout)
        return;
    token_ = 0;
    if (now < next_call_at_)
        return;
    auto const age = settings_.horizon + settings_.deletion_margin;
    auto const oldest_kept = wall.time_since_epoch() - age;
    if (oldest_kept.count() <= 0)
        return;
    // A window is deleted once its end, not only its start, is old enough.
    auto const first_kept_window = static_cast<std::uint64_t>(
        oldest_kept.count() / settings_.window.count());
    if (!started_)
    {
        started_ = true;
        auto const backlog = settings_.clean_backlog;
        cursor_ = {
            first_kept_window > backlog ? first_kept_window - backlog : 0, 0};
    }
    if (!advance_cursor(first_kept_window, live))
        return;
    next_call_at_ = now + settings_.clean_interval;
    calls_ += token_step;
    token_ = calls_ + 1;
    deleting_ = false;
    call_started_ = now;
    out.push_back(read_object{token_, path_of(current_)});
}

bool window_cleaner::store_answer(bookings::store_answer const& answer,
                                  time_point now, booking_effects& out)
{
    if (answer.token % token_step == 0)
        return false;
    if (answer.token != token_)
        return true;
    token_ = 0;
    if (answer.status != store_status::ok)
    {
        // A shard that could not be read or deleted is checked again.
        if (answer.status != store_status::absent)
            cursor_ = current_;
        return true;
    }
    if (deleting_)
    {
        ++deleted_;
        return true;
    }
    calls_ += token_step;
    token_ = calls_ + 1;
    deleting_ = true;
    call_started_ = now;
    out.push_back(delete_object{token_, path_of(current_), answer.version});
    return true;
}

} // namespace buckthornvale::decision::bookings
