#include <buckthornvale/decision/gateway/engine_load.hpp>

#include <algorithm>
#include <cmath>

namespace buckthornvale::decision::gateway
{

namespace
{

using namespace std::chrono_literals;

//! Requests last about this long, so that an older report says little about
//! those of other VMs.
constexpr duration report_fade_time = 700ms;

//! Reports up to this age tell what is usual at the runners of a service.
constexpr duration max_report_age = 5s;

//! A runner that was slow gets requests again in about this time.
constexpr duration slowdown_fade_time = 5s;

//! Bounds of what one sample, and all together, can claim.
constexpr double min_slowdown = 0.25;
constexpr double max_slowdown = 8;

//! Weight of the newest sample of a slowdown.
constexpr double slowdown_weight = 0.3;

//! A runner may have dropped shared parts that were not used for this long.
constexpr duration part_lifetime = 20s;
constexpr std::size_t max_unused_parts = 128;

//! Upper limit of the tokens of a part. Callers state any number.
constexpr double max_tokens = 1e7;

double fade(duration age, duration fade_time)
{
    return std::exp(-to_seconds(age) / to_seconds(fade_time));
}

//! The parts of a prompt that its session shares. The last belongs to the
//! request itself.
absl::Span<prompt_part const> shared_parts(engine_request const& work)
{
    return work.prompt.empty() ? work.prompt
                               : work.prompt.first(work.prompt.size() - 1);
}

double tokens_of(prompt_part const& part)
{
    return std::min(part.tokens, max_tokens);
}

double tokens_of(absl::Span<prompt_part const> parts)
{
    double out = 0;
    for (auto const& it : parts)
        out += tokens_of(it);
    return out;
}

double prompt_tokens(engine_request const& work)
{
    return std::max(std::min(work.prompt_tokens, max_tokens),
                    tokens_of(work.prompt));
}

//! Memory that the request needs at most, without shared parts.
double unshared_tokens(engine_request const& work)
{
    return prompt_tokens(work) - tokens_of(shared_parts(work)) +
           std::min(work.output_tokens, max_tokens);
}

} // namespace

double engine_load::fading_factor::at(time_point now) const
{
    return 1 + (value_ - 1) * fade(now - updated_at_, slowdown_fade_time);
}

void engine_load::fading_factor::update(double sample, time_point now)
{
    double const known = at(now);
    value_ = known + slowdown_weight * (sample - known);
    updated_at_ = now;
}

engine_expectation engine_load::expect(engine_request const& work,
                                       bool is_first,
                                       other_requests const& others,
                                       engine_profile const& profile,
                                       time_point now) const
{
    engine_expectation out;
    out.unread_tokens = tokens_to_read(work, is_first, now);
    out.tokens_before = unread_tokens_ + out.unread_tokens +
                        others.waiting * profile.mean_unread_tokens();
    out.usual_time = profile.usual_time(out.tokens_before);
    out.first_event = from_seconds(to_seconds(out.usual_time) * slowdown(now));
    return out;
}

void engine_load::sent(request_ref request, engine_request const& work,
                       engine_expectation const& expected, time_point now)
{
    ended(request);
    own_request it;
    it.expected = expected;
    it.sent_at = now;
    it.streams = work.streams;
    if (!expected.exceeds_memory)
        hold(it, work, now);
    unread_tokens_ += expected.unread_tokens;
    ++waiting_;
    requests_[request] = std::move(it);
    forget_old_parts();
}

void engine_load::hold(own_request& it, engine_request const& work,
                       time_point now)
{
    it.held_tokens = unshared_tokens(work);
    held_tokens_ += it.held_tokens;
    for (auto const& part : shared_parts(work))
    {
        it.shared_parts.push_back(part.id);
        hold_part(part, now);
    }
}

void engine_load::hold_part(prompt_part const& part, time_point now)
{
    auto const [found, is_new] = parts_.try_emplace(part.id);
    auto& it = found->second;
    if (it.users++ == 0)
    {
        unused_parts_ -= is_new ? 0 : 1;
        it.tokens = tokens_of(part);
        held_tokens_ += it.tokens;
    }
    it.used_at = now;
}

void engine_load::release_part(std::uint64_t id)
{
    auto& it = parts_[id];
    if (--it.users > 0)
        return;
    held_tokens_ -= it.tokens;
    ++unused_parts_;
}

void engine_load::forget_old_parts()
{
    while (unused_parts_ > max_unused_parts)
    {
        auto oldest = parts_.end();
        for (auto it = parts_.begin(); it != parts_.end(); ++it)
            if (it->second.users == 0 &&
                (oldest == parts_.end() ||
                 it->second.used_at < oldest->second.used_at))
                oldest = it;
        parts_.erase(oldest);
        --unused_parts_;
    }
}

std::optional<first_event_sample> engine_load::started(request_ref request,
                                                       time_point now)
{
    auto const found = requests_.find(request);
    if (found == requests_.end() || found->second.started)
        return std::nullopt;
    auto& it = found->second;
    it.started = true;
    unread_tokens_ -= it.expected.unread_tokens;
    --waiting_;
    observed_slowdown_.update(
        std::clamp(observed_ratio(it, now), min_slowdown, max_slowdown), now);
    return first_event_sample{it.expected.tokens_before, now - it.sent_at,
                              reported_slowdown_.at(now)};
}

void engine_load::ended(request_ref request)
{
    auto const found = requests_.find(request);
    if (found == requests_.end())
        return;
    auto const& it = found->second;
    held_tokens_ -= it.held_tokens;
    for (auto const id : it.shared_parts)
        release_part(id);
    if (!it.started)
    {
        unread_tokens_ -= it.expected.unread_tokens;
        --waiting_;
    }
    requests_.erase(found);
    if (!requests_.empty())
        return;
    // Sums of floating-point numbers drift.
    held_tokens_ = 0;
    unread_tokens_ = 0;
}

void engine_load::report(runner_load const& load, time_point now)
{
    auto const own_running = double(requests_.size() - waiting_);
    other_requests others;
    others.running = std::max(0.0, load.running - own_running);
    others.waiting = std::max(0.0, load.waiting - double(waiting_));
    reported_others_ = others;
    reported_at_ = now;
    if (load.slowdown)
        reported_slowdown_.update(
            std::clamp(*load.slowdown, min_slowdown, max_slowdown), now);
}

bool engine_load::exceeds_memory(engine_request const& work,
                                 double cache_tokens)
{
    return cache_tokens > 0 &&
           unshared_tokens(work) + tokens_of(shared_parts(work)) > cache_tokens;
}

bool engine_load::has_room(engine_request const& work,
                           double cache_tokens) const
{
    if (requests_.empty() || cache_tokens <= 0 ||
        exceeds_memory(work, cache_tokens))
        return true;
    double needed = unshared_tokens(work);
    for (auto const& part : shared_parts(work))
    {
        auto const found = parts_.find(part.id);
        if (found == parts_.end() || found->second.users == 0)
            needed += tokens_of(part);
    }
    return held_tokens_ + needed <= cache_tokens;
}

double engine_load::tokens_to_read(engine_request const& work, bool is_first,
                                   time_point now) const
{
    double out = prompt_tokens(work);
    for (auto const& part : shared_parts(work))
    {
        auto const found = parts_.find(part.id);
        bool const was_read = found != parts_.end() &&
                              now - found->second.used_at <= part_lifetime;
        if (!is_first && !was_read)
            break;
        out -= tokens_of(part);
    }
    return out;
}

std::optional<other_requests> engine_load::reported_others(time_point now) const
{
    if (now - reported_at_ > max_report_age)
        return std::nullopt;
    return reported_others_;
}

other_requests engine_load::others(other_requests const& usual,
                                   time_point now) const
{
    if (!reported_others_)
        return usual;
    double const weight = fade(now - reported_at_, report_fade_time);
    return {
        usual.running + weight * (reported_others_->running - usual.running),
        usual.waiting + weight * (reported_others_->waiting - usual.waiting)};
}

double engine_load::observed_ratio(own_request const& it, time_point now) const
{
    return to_seconds(now - it.sent_at) /
           (to_seconds(it.expected.usual_time) * reported_slowdown_.at(now));
}

double engine_load::slowdown(time_point now) const
{
    double observed = observed_slowdown_.at(now);
    // A request that is overdue tells of a stalled runner before its answer.
    for (auto const& it : requests_)
        if (it.second.streams && !it.second.started)
            observed = std::max(observed, observed_ratio(it.second, now));
    return std::clamp(reported_slowdown_.at(now) * observed, min_slowdown,
                      max_slowdown);
}

} // namespace buckthornvale::decision::gateway
