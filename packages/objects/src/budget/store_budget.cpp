#include <buckthornvale/objects/budget/store_budget.hpp>

#include <algorithm>
#include <random>

namespace buckthornvale::objects
{

namespace
{

// The least important purpose needs a token above three reserved quarters,
// so a bucket of less than four tokens would never let it through.
constexpr double least_capacity = 4.;

//! Name of a purpose, and the share of a bucket that it leaves to others.
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

// Beyond this the doubled delay exceeds any limit.
constexpr std::uint32_t most_doublings = 20;

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
    auto const n = static_cast<double>(std::max<std::size_t>(live_vms, 1));
    set_rate(buckets_[0], settings_.fleet_reads_per_second / n, now);
    set_rate(buckets_[1], settings_.fleet_writes_per_second / n, now);
}

call_permit store_budget::acquire(call_purpose purpose,
                                  call_direction direction,
                                  decision::time_point now)
{
    auto& counts = counters_[index_of(purpose)];
    auto const& pause = backoffs_[index_of(purpose)];
    if (pause.failures > 0 && now < pause.until)
    {
        ++counts.deferred;
        return {false, pause.until - now};
    }
    auto& tokens = buckets_[static_cast<std::size_t>(direction)];
    tokens.fill(now);
    auto const reserved =
        purposes[index_of(purpose)].reserved_share * tokens.capacity;
    auto const missing = reserved + 1. - tokens.tokens;
    if (missing > 0.)
    {
        ++counts.deferred;
        // A nanosecond more, so that rounding cannot leave it short.
        return {false, decision::from_seconds(missing / tokens.rate) +
                           decision::duration(1)};
    }
    tokens.tokens -= 1.;
    ++counts.granted;
    return {true, {}};
}

void store_budget::succeeded(call_purpose purpose)
{
    backoffs_[index_of(purpose)] = {};
}

void store_budget::failed(call_purpose purpose, decision::time_point now)
{
    ++counters_[index_of(purpose)].failed;
    auto& pause = backoffs_[index_of(purpose)];
    auto const doublings = std::min(pause.failures, most_doublings);
    ++pause.failures;
    auto const whole = std::min(decision::to_seconds(settings_.backoff_limit),
                                decision::to_seconds(settings_.backoff_base) *
                                    static_cast<double>(1U << doublings));
    std::uniform_real_distribution<double> jitter(whole / 2., whole);
    pause.until = now + decision::from_seconds(jitter(random_));
}

void store_budget::offer_status(std::string value)
{
    if (status_)
        ++counters_[index_of(call_purpose::status)].coalesced;
    status_ = std::move(value);
}

std::optional<std::string> store_budget::take_status(decision::time_point now)
{
    if (!status_ ||
        (status_taken_ && now - *status_taken_ < settings_.status_period))
        return std::nullopt;
    if (!acquire(call_purpose::status, call_direction::write, now).is_granted)
        return std::nullopt;
    status_taken_ = now;
    auto value = std::move(status_);
    status_.reset();
    return value;
}

call_counters const& store_budget::counters(call_purpose purpose) const
{
    return counters_[index_of(purpose)];
}

void store_budget::set_rate(bucket& target, double rate,
                            decision::time_point now) const
{
    target.fill(now);
    target.rate = rate;
    target.capacity =
        std::max(least_capacity, rate * decision::to_seconds(settings_.burst));
    target.tokens = std::min(target.tokens, target.capacity);
}

void store_budget::bucket::fill(decision::time_point now)
{
    auto const elapsed = std::max(now - filled, decision::duration(0));
    tokens = std::min(capacity, tokens + rate * decision::to_seconds(elapsed));
    filled = std::max(filled, now);
}

} // namespace buckthornvale::objects
