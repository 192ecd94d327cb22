#include <buckthornvale/decision/leases/lease_keeper.hpp>

#include <xxhash.h>

#include <algorithm>
#include <random>

namespace buckthornvale::decision::leases
{

namespace
{

std::uint64_t weight_of(vm_id vm, pool_id pool)
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

void lease_keeper::want(bool wanted, time_point now)
{
    wanted_ = wanted;
    next_call_ = std::min(next_call_, now);
}

void lease_keeper::tick(time_point now, std::vector<lease_effect>& out)
{
    if (call_kind_ != call_kind::none)
    {
        if (now - call_started_ < settings_.call_timeout)
            return;
        unknown(now);
    }
    if (now < next_call_)
        return;
    // The outcome of an unanswered write is read back before anything else.
    if (open_write_ != call_kind::none)
        start_read(now, out);
    else if (state_ == state::holding)
        tick_holding(now, out);
    else if (wanted_)
        tick_watching(now, out);
}

void lease_keeper::answer(lease_answer const& value, time_point now)
{
    bool const current = call_kind_ != call_kind::none && value.call == call_;
    if (!current)
        return; // answered after its timeout; the read-back settles it
    if (value.status == lease_status::unknown)
        return unknown(now);
    bool const was_write = call_kind_ != call_kind::read;
    call_kind_ = call_kind::none;
    next_call_ = now;
    if (was_write && value.status == lease_status::ok)
        return written(value.version, now);
    bool const absent = value.status == lease_status::absent;
    observed(absent ? 0 : value.version, absent ? lease_value{} : value.value,
             now);
}

bool lease_keeper::may_order(time_point now) const
{
    return state_ == state::holding && wanted_ && now >= first_order_ &&
           now < renewed_ + settings_.order_bound;
}

std::optional<std::uint64_t> lease_keeper::fencing_number(time_point now) const
{
    if (!may_order(now))
        return std::nullopt;
    return version_;
}

void lease_keeper::start_read(time_point now, std::vector<lease_effect>& out)
{
    call_kind_ = call_kind::read;
    looked_ = now;
    call_started_ = now;
    out.emplace_back(read_lease{++call_, pool_});
}

void lease_keeper::start_write(call_kind kind, time_point now,
                               std::vector<lease_effect>& out)
{
    call_kind_ = kind;
    call_started_ = now;
    open_write_ = kind;
    write_nonce_ = random_();
    write_started_ = now;
    lease_value value{self_, incarnation_, write_nonce_};
    if (kind == call_kind::give_up)
        value.holder = vm_id{};
    out.emplace_back(write_lease{++call_, pool_, version_, value});
}

void lease_keeper::tick_watching(time_point now, std::vector<lease_effect>& out)
{
    bool const waited = now - seen_since_ >= settings_.length;
    if (seen_ && (free_ || waited))
        start_write(call_kind::acquire, now, out);
    else if (!seen_ || now >= looked_ + settings_.renew_every)
        start_read(now, out);
    else
        next_call_ = std::min(looked_ + settings_.renew_every,
                              seen_since_ + settings_.length);
}

void lease_keeper::tick_holding(time_point now, std::vector<lease_effect>& out)
{
    if (!wanted_)
        start_write(call_kind::give_up, now, out);
    else if (now >= renewed_ + settings_.renew_every)
        start_write(call_kind::renew, now, out);
    else
        next_call_ = renewed_ + settings_.renew_every;
}

void lease_keeper::written(std::uint64_t version, time_point now)
{
    auto const kind = open_write_;
    open_write_ = call_kind::none;
    version_ = version;
    if (kind == call_kind::give_up)
    {
        state_ = state::watching;
        seen_ = false;
        return;
    }
    renewed_ = write_started_;
    if (state_ == state::holding)
        return;
    state_ = state::holding;
    first_order_ = now + settings_.first_order_wait;
}

void lease_keeper::observed(std::uint64_t version, lease_value const& value,
                            time_point now)
{
    if (open_write_ != call_kind::none && is_own_write(value))
        return written(version, now);
    open_write_ = call_kind::none;
    if (state_ == state::holding && version != version_)
    {
        state_ = state::watching;
        ++lost_;
    }
    if (!seen_ || version != version_)
        seen_since_ = now;
    seen_ = true;
    version_ = version;
    free_ = version == 0 || value.holder == vm_id{};
}

void lease_keeper::unknown(time_point now)
{
    call_kind_ = call_kind::none;
    std::uniform_real_distribution<double> jitter(0.5, 1.5);
    next_call_ =
        now + from_seconds(to_seconds(settings_.retry_wait) * jitter(random_));
}

bool lease_keeper::is_own_write(lease_value const& value) const
{
    return value.nonce == write_nonce_ && value.incarnation == incarnation_;
}

bool is_candidate(vm_id self, pool_id pool, absl::Span<vm_id const> live,
                  std::size_t most)
{
    auto const own = weight_of(self, pool);
    std::size_t ahead = 0;
    for (auto vm : live)
        ahead += weight_of(vm, pool) > own ? 1 : 0;
    return ahead < most;
}

} // namespace buckthornvale::decision::leases
