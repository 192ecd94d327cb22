#include <buckthornvale/decision/gateway/crash_judge.hpp>

#include <algorithm>

namespace buckthornvale::decision::gateway
{

namespace
{

//! Number of crashes after which a suspect is to blame if no other suspect
//! explains as many, and after which it is in any case.
struct crash_limits
{
    std::uint32_t distinct;
    std::uint32_t certain;
};

//! Many requests share a path or a key, so these need more evidence.
crash_limits limits_of(suspect_kind kind)
{
    constexpr crash_limits part_limits = {3, 5};
    constexpr crash_limits wide_limits = {5, 7};
    return kind == suspect_kind::prompt_part ? part_limits : wide_limits;
}

} // namespace

crash_judge::crash* crash_judge::find_recent(std::string_view runner,
                                             duration window, time_point now)
{
    auto const found =
        std::find_if(crashes_.rbegin(), crashes_.rend(),
                     [&](crash const& it)
                     { return it.runner == runner && now - it.at <= window; });
    return found == crashes_.rend() ? nullptr : &*found;
}

void crash_judge::record_lost_run(lost_run const& run, time_point now)
{
    auto* it = find_recent(run.runner, crash_window, now);
    if (it == nullptr)
    {
        if (crashes_.size() == max_crashes)
            crashes_.pop_front();
        it = &crashes_.emplace_back();
        it->runner = run.runner;
        it->at = now;
    }
    ++it->lost_runs;
    if (it->lost_runs > 1 && now - it->at <= simultaneous_window)
        it->confirmed = true;
    auto& suspects = run.answer_begun ? it->begun : it->waiting;
    for (auto const& suspect : run.suspects)
        if (suspects.size() < max_suspects_per_crash)
            suspects.insert(suspect);
}

void crash_judge::record_unreachable(std::string_view runner, time_point now)
{
    if (auto* it = find_recent(runner, confirmation_window, now))
        it->confirmed = true;
}

void crash_judge::record_answered(absl::Span<crash_suspect const> suspects,
                                  time_point now)
{
    if (!has_evidence())
        return;
    for (auto const& suspect : suspects)
    {
        service_answered_at_[suspect.service] = now;
        accused_at_.erase(suspect);
        for (auto& it : crashes_)
        {
            it.begun.erase(suspect);
            it.waiting.erase(suspect);
        }
    }
}

crash_judge::charge_map
crash_judge::charges(absl::Span<crash_suspect const> blocked) const
{
    charge_map out;
    for (auto const& it : crashes_)
    {
        auto const& suspects = it.suspects();
        bool const explained =
            std::any_of(blocked.begin(), blocked.end(),
                        [&](crash_suspect const& suspect)
                        { return suspects.contains(suspect); });
        if (!it.confirmed || explained)
            continue;
        for (auto const& suspect : suspects)
        {
            auto& value = out[suspect];
            if (value.crashes > 0 && it.at - value.last < crash_spacing)
                continue;
            if (value.crashes == 0)
                value.first = it.at;
            value.last = it.at;
            ++value.crashes;
        }
    }
    return out;
}

bool crash_judge::others_are_answered(crash_suspect const& suspect,
                                      charge const& value) const
{
    auto const answered = service_answered_at_.find(suspect.service);
    return answered != service_answered_at_.end() &&
           answered->second >= value.first;
}

bool crash_judge::is_to_blame(crash_suspect const& suspect, charge const& value,
                              charge_map const& all) const
{
    auto const limits = limits_of(suspect.kind);
    if (value.crashes < limits.distinct || !others_are_answered(suspect, value))
        return false;
    if (value.crashes >= limits.certain)
        return true;
    return std::none_of(all.begin(), all.end(),
                        [&](auto const& other)
                        {
                            return !(other.first == suspect) &&
                                   other.first.service == suspect.service &&
                                   other.second.crashes >= value.crashes;
                        });
}

std::vector<crash_verdict>
crash_judge::take_accused(absl::Span<crash_suspect const> blocked,
                          time_point now)
{
    std::vector<crash_verdict> out;
    for (auto const& it : charges(blocked))
    {
        bool const enough =
            it.second.crashes >= limits_of(it.first.kind).distinct;
        if (!enough || !accused_at_.try_emplace(it.first, now).second)
            continue;
        out.push_back({it.first, now - it.second.first, now - it.second.last});
    }
    return out;
}

std::vector<crash_verdict>
crash_judge::take_blamed(absl::Span<crash_suspect const> blocked,
                         duration hearing, time_point now)
{
    std::vector<crash_verdict> out;
    auto const all = charges(blocked);
    for (auto const& it : all)
    {
        auto const accused = accused_at_.find(it.first);
        bool const heard =
            accused != accused_at_.end() && now - accused->second >= hearing;
        if (!heard || !is_to_blame(it.first, it.second, all))
            continue;
        out.push_back({it.first, now - it.second.first, now - it.second.last});
        accused_at_.erase(accused);
    }
    return out;
}

void crash_judge::expire(time_point now)
{
    auto const is_old = [&](auto const& it)
    { return now - it.second > crash_lifetime; };
    while (!crashes_.empty() && now - crashes_.front().at > crash_lifetime)
        crashes_.pop_front();
    absl::erase_if(service_answered_at_, is_old);
    absl::erase_if(accused_at_, is_old);
}

} // namespace buckthornvale::decision::gateway
