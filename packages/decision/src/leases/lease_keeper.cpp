#include <buckthornvale/decision/leases/lease_keeper.hpp>

#include <xxhash.h>

#include <algorithm>
#include <random>

namespace buckthornvale::decision::leases
{

namespace
{

std::uint64_t rendezvous_weight(vm_id vm, pool_id pool)
{
    std::uint64_t const key[] = {vm.value, pool.value};
    return XXH3_64bits(key, sizeof key);
}

} // namespace

lease_keeper::lease_keeper(pool_id pool, vm_id self, std::uint64_t incarnation,
                           std::uint64_t seed, lease_settings settings)
    : pool_(pool), self_(self), incarnation_(incarnation), settings_(settings),
      random_(seed)
{
}

void lease_keeper::set_wanted(bool wanted, time_point now)
{
    wanted_ = wanted;
    next_call_at_ = std::min(next_call_at_, now);
}

void lease_keeper::tick(time_point now, std::vector<lease_effect>& out)
{
    if (call_kind_ != call_kind::none)
    {
        if (now - call_started_ < settings_.call_timeout)
            return;
        handle_unknown_outcome(now);
    }
    if (now < next_call_at_)
        return;
    // After a write with unknown outcome, the object is read before any other
    // call to find out whether the write was applied.
    if (unconfirmed_write_ != call_kind::none)
        start_read(now, out);
    else if (state_ == state::holding)
        tick_holding(now, out);
    else if (wanted_)
        tick_observing(now, out);
}

void lease_keeper::handle_answer(lease_answer const& value, time_point now)
{
    bool const is_current =
        call_kind_ != call_kind::none && value.call == call_id_;
    if (!is_current)
        return; // answer after the timeout; the next read determines the
                // outcome
    if (value.status == lease_status::unknown)
        return handle_unknown_outcome(now);
    bool const was_write = call_kind_ != call_kind::read;
    call_kind_ = call_kind::none;
    next_call_at_ = now;
    if (was_write && value.status == lease_status::ok)
        return handle_write_applied(value.version, now);
    bool const absent = value.status == lease_status::absent;
    handle_object_observed(absent ? 0 : value.version,
                           absent ? lease_value{} : value.value, now);
}

bool lease_keeper::may_send_orders(time_point now) const
{
    return state_ == state::holding && wanted_ && now >= orders_allowed_from_ &&
           now < last_renewal_started_ + settings_.order_window;
}

std::optional<std::uint64_t> lease_keeper::fencing_token(time_point now) const
{
    if (!may_send_orders(now))
        return std::nullopt;
    return version_;
}

void lease_keeper::start_read(time_point now, std::vector<lease_effect>& out)
{
    call_kind_ = call_kind::read;
    last_read_started_ = now;
    call_started_ = now;
    out.emplace_back(read_lease{++call_id_, pool_});
}

void lease_keeper::start_write(call_kind kind, time_point now,
                               std::vector<lease_effect>& out)
{
    call_kind_ = kind;
    call_started_ = now;
    unconfirmed_write_ = kind;
    write_nonce_ = random_();
    write_started_ = now;
    lease_value value{self_, incarnation_, write_nonce_};
    if (kind == call_kind::release)
        value.holder = vm_id{};
    out.emplace_back(write_lease{++call_id_, pool_, version_, value});
}

void lease_keeper::tick_observing(time_point now,
                                  std::vector<lease_effect>& out)
{
    bool const expired =
        now - version_observed_since_ >= settings_.lease_duration;
    if (has_observed_ && (is_free_ || expired))
        start_write(call_kind::acquire, now, out);
    else if (!has_observed_ ||
             now >= last_read_started_ + settings_.renew_interval)
        start_read(now, out);
    else
        next_call_at_ =
            std::min(last_read_started_ + settings_.renew_interval,
                     version_observed_since_ + settings_.lease_duration);
}

void lease_keeper::tick_holding(time_point now, std::vector<lease_effect>& out)
{
    if (!wanted_)
        start_write(call_kind::release, now, out);
    else if (now >= last_renewal_started_ + settings_.renew_interval)
        start_write(call_kind::renew, now, out);
    else
        next_call_at_ = last_renewal_started_ + settings_.renew_interval;
}

void lease_keeper::handle_write_applied(std::uint64_t version, time_point now)
{
    auto const kind = unconfirmed_write_;
    unconfirmed_write_ = call_kind::none;
    version_ = version;
    if (kind == call_kind::release)
    {
        state_ = state::observing;
        has_observed_ = false;
        return;
    }
    last_renewal_started_ = write_started_;
    if (state_ == state::holding)
        return;
    state_ = state::holding;
    orders_allowed_from_ = now + settings_.first_order_delay;
}

void lease_keeper::handle_object_observed(std::uint64_t version,
                                          lease_value const& value,
                                          time_point now)
{
    if (unconfirmed_write_ != call_kind::none && is_own_write(value))
        return handle_write_applied(version, now);
    unconfirmed_write_ = call_kind::none;
    if (state_ == state::holding && version != version_)
    {
        state_ = state::observing;
        ++lost_count_;
    }
    if (!has_observed_ || version != version_)
        version_observed_since_ = now;
    has_observed_ = true;
    version_ = version;
    is_free_ = version == 0 || value.holder == vm_id{};
}

void lease_keeper::handle_unknown_outcome(time_point now)
{
    call_kind_ = call_kind::none;
    std::uniform_real_distribution<double> jitter(0.5, 1.5);
    next_call_at_ =
        now + from_seconds(to_seconds(settings_.retry_delay) * jitter(random_));
}

bool lease_keeper::is_own_write(lease_value const& value) const
{
    return value.nonce == write_nonce_ && value.incarnation == incarnation_;
}

bool is_candidate(vm_id self, pool_id pool, absl::Span<vm_id const> live,
                  std::size_t max_candidates)
{
    auto const own_weight = rendezvous_weight(self, pool);
    std::size_t higher_ranked = 0;
    for (auto vm : live)
        higher_ranked += rendezvous_weight(vm, pool) > own_weight ? 1 : 0;
    return higher_ranked < max_candidates;
}

} // namespace buckthornvale::decision::leases
