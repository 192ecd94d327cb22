#include <buckthornvale/objects/budget/store_budget.hpp>

#include <algorithm>
#include <random>

namespace buckthornvale::objects
{

namespace
{

// The lowest-priority purpose needs one token on top of the three quarters of
// the bucket that are reserved, so with a capacity below four tokens it would
// never be granted a call.
constexpr double min_bucket_capacity = 4.;

//! Name of a purpose, and the share of a bucket reserved for other purposes.
struct purpose_traits
{
    std::string_view name;
    double reserved_share;
};

constexpr std::array<purpose_traits, call_purpose_count> purposes = {{
    {"claim", 0.},
    {"settings", 0.25},
    {"vm_list", 0.25},
    {"lease", 0.5},
    {"status", 0.75},
}};

//! Maximum time until the next try. At a rate of zero, a bucket is never
//! refilled.
constexpr double max_wait_s = 3600.;

// Prevents overflow; the delay reaches any practical limit long before.
constexpr std::uint32_t max_backoff_doublings = 20;

std::size_t index_of(call_purpose purpose)
{
    return static_cast<std::size_t>(purpose);
}

} // namespace

std::string_view name_of(call_purpose purpose)
{
    return purposes[index_of(purpose)].name;
}

store_budget::store_budget(store_budget_settings const& settings,
                           std::uint64_t seed)
    : settings_(settings), random_(seed)
{
    set_live_vms(1, decision::time_point{});
    for (auto& it : buckets_)
        it.tokens = it.capacity;
}

void store_budget::set_live_vms(std::size_t live_vms, decision::time_point now)
{
    auto const vm_count =
        static_cast<double>(std::max<std::size_t>(live_vms, 1));
    set_rate(buckets_[0], settings_.fleet_reads_per_second / vm_count, now);
    set_rate(buckets_[1], settings_.fleet_writes_per_second / vm_count, now);
}

call_permit store_budget::acquire(call_purpose purpose,
                                  call_direction direction,
                                  decision::time_point now)
{
    auto& purpose_counters = counters_[index_of(purpose)];
    auto const& backoff = backoffs_[index_of(purpose)];
    if (backoff.failures > 0 && now < backoff.retry_at)
    {
        ++purpose_counters.deferred;
        return {false, backoff.retry_at - now};
    }
    auto& target_bucket = buckets_[static_cast<std::size_t>(direction)];
    target_bucket.refill(now);
    auto const reserved_tokens =
        purposes[index_of(purpose)].reserved_share * target_bucket.capacity;
    auto const missing_tokens = reserved_tokens + 1. - target_bucket.tokens;
    if (missing_tokens > 0.)
    {
        ++purpose_counters.deferred;
        auto const wait_s =
            std::min(missing_tokens / target_bucket.rate, max_wait_s);
        // One extra nanosecond, so that the bucket holds a full token at
        // retry_after in spite of rounding.
        return {false, decision::from_seconds(wait_s) + decision::duration(1)};
    }
    target_bucket.tokens -= 1.;
    ++purpose_counters.granted;
    return {true, {}};
}

void store_budget::succeeded(call_purpose purpose)
{
    backoffs_[index_of(purpose)] = {};
}

void store_budget::failed(call_purpose purpose, decision::time_point now)
{
    ++counters_[index_of(purpose)].failed;
    auto& backoff = backoffs_[index_of(purpose)];
    auto const doublings = std::min(backoff.failures, max_backoff_doublings);
    ++backoff.failures;
    auto const full_delay_s =
        std::min(decision::to_seconds(settings_.backoff_limit),
                 decision::to_seconds(settings_.backoff_base) *
                     static_cast<double>(1U << doublings));
    std::uniform_real_distribution<double> jitter(full_delay_s / 2.,
                                                  full_delay_s);
    backoff.retry_at = now + decision::from_seconds(jitter(random_));
}

void store_budget::offer_status(std::string value)
{
    if (pending_status_)
        ++counters_[index_of(call_purpose::status)].coalesced;
    pending_status_ = std::move(value);
}

std::optional<std::string> store_budget::take_status(decision::time_point now)
{
    if (!pending_status_ ||
        (last_status_at_ && now - *last_status_at_ < settings_.status_period))
        return std::nullopt;
    if (!acquire(call_purpose::status, call_direction::write, now).is_granted)
        return std::nullopt;
    last_status_at_ = now;
    auto value = std::move(pending_status_);
    pending_status_.reset();
    return value;
}

call_counters const& store_budget::counters(call_purpose purpose) const
{
    return counters_[index_of(purpose)];
}

void store_budget::set_rate(bucket& target, double rate,
                            decision::time_point now) const
{
    target.refill(now);
    target.rate = rate;
    target.capacity = std::max(min_bucket_capacity,
                               rate * decision::to_seconds(settings_.burst));
    target.tokens = std::min(target.tokens, target.capacity);
}

void store_budget::bucket::refill(decision::time_point now)
{
    auto const elapsed = std::max(now - last_refill, decision::duration(0));
    tokens = std::min(capacity, tokens + rate * decision::to_seconds(elapsed));
    last_refill = std::max(last_refill, now);
}

} // namespace buckthornvale::objects
