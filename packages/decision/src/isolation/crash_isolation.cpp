#include <buckthornvale/decision/isolation/crash_isolation.hpp>

#include <xxhash.h>

#include <algorithm>

namespace buckthornvale::decision::isolation
{

crash_isolation::crash_isolation(isolation_settings settings,
                                 std::uint64_t incarnation)
    : settings_(settings), incarnation_(incarnation)
{
}

isolation_decision crash_isolation::check(fingerprint content, time_point now)
{
    auto const* const known = find(content, now);
    if (known == nullptr || known->value.state == mark_state::cleared)
        return isolation_decision::clear;
    if (known->value.state == mark_state::suspect && links_up_)
        return isolation_decision::run_alone;
    ++counters_.refused;
    return isolation_decision::refused;
}

bool crash_isolation::may_share(runner_id runner, fingerprint content,
                                time_point now) const
{
    auto const it = in_flight_.find(runner);
    if (it == in_flight_.end() || it->second.empty())
        return true;
    if (is_suspect_or_isolated(content, now))
        return false;
    auto const& running = it->second;
    return std::none_of(running.begin(), running.end(),
                        [&](attempt const& other)
                        { return is_suspect_or_isolated(other.content, now); });
}

void crash_isolation::attempt_started(runner_id runner, fingerprint content,
                                      time_point)
{
    auto& running = in_flight_[runner];
    bool const alone = running.empty();
    for (auto& it : running)
        it.alone = false;
    running.push_back({content, alone});
}

void crash_isolation::attempt_finished(runner_id runner, fingerprint content,
                                       time_point now)
{
    auto const ended = remove(runner, content);
    auto const* const known = find(content, now);
    bool const suspect =
        known != nullptr && known->value.state == mark_state::suspect;
    if (!suspect || !ended.alone)
        return;
    ++counters_.cleared;
    isolation_mark value = known->value;
    value.state = mark_state::cleared;
    value.crash_ids.clear();
    ++value.clears;
    store(value, now);
}

void crash_isolation::attempt_abandoned(runner_id runner, fingerprint content,
                                        time_point)
{
    remove(runner, content);
}

void crash_isolation::runner_crashed(runner_id runner, time_point now)
{
    auto const it = in_flight_.find(runner);
    if (it == in_flight_.end())
        return;
    ++counters_.crashes;
    std::uint64_t const key[] = {incarnation_, runner.value, counters_.crashes};
    auto const crash_id = XXH3_64bits(key, sizeof key);
    auto const lost = std::move(it->second);
    in_flight_.erase(it);
    for (std::size_t i = 0; i < lost.size(); ++i)
    {
        auto const same = [&](attempt const& other)
        { return other.content == lost[i].content; };
        // Several copies of the same content on the runner count as one crash.
        if (std::none_of(lost.begin(), lost.begin() + i, same))
            record_crash(lost[i], crash_id, now);
    }
}

void crash_isolation::record_crash(attempt const& lost, std::uint64_t crash_id,
                                   time_point now)
{
    auto const* const known = find(lost.content, now);
    isolation_mark value;
    value.content = lost.content;
    if (known != nullptr)
        value = known->value;
    bool const was_suspect =
        known != nullptr && value.state == mark_state::suspect;
    add_crash(value, crash_id);
    bool const isolated = (was_suspect && lost.alone) ||
                          value.state == mark_state::isolated ||
                          value.crash_ids.size() >= settings_.crash_bound;
    value.state = isolated ? mark_state::isolated : mark_state::suspect;
    ++(isolated ? counters_.isolated : counters_.suspects);
    store(value, now);
}

bool crash_isolation::apply_mark(isolation_mark const& value, time_point now)
{
    if (value.remaining <= duration::zero())
        return false;
    auto const* const known = find(value.content, now);
    auto merged = known == nullptr ? value : merge(known->value, value);
    if (known != nullptr && equal_ignoring_remaining(merged, known->value))
        return false;
    if (merged.state == mark_state::suspect &&
        merged.crash_ids.size() >= settings_.crash_bound)
    {
        // No other VM may know of both crashes, so the isolation is decided
        // here.
        merged.state = mark_state::isolated;
        ++counters_.isolated;
        store(merged, now);
        return true;
    }
    store(merged, now);
    // A mark never outlives the lifetime given by its sender; otherwise marks
    // that VMs repeat to each other would never expire.
    auto& stored = marks_[value.content];
    stored.expires = std::min(stored.expires, now + value.remaining);
    return true;
}

void crash_isolation::take_marks(time_point now,
                                 std::vector<isolation_mark>& out)
{
    for (auto& it : marks_)
    {
        auto& known = it.second;
        if (!known.unsent)
            continue;
        known.unsent = false;
        if (known.expires > now)
            out.push_back(with_remaining(known, now));
    }
}

void crash_isolation::recent_marks(time_point now, std::size_t max_count,
                                   std::vector<isolation_mark>& out) const
{
    std::vector<stored_mark const*> latest;
    for (auto const& it : marks_)
    {
        if (it.second.expires > now)
            latest.push_back(&it.second);
    }
    auto const later = [](stored_mark const* a, stored_mark const* b)
    { return a->change_sequence > b->change_sequence; };
    std::sort(latest.begin(), latest.end(), later);
    latest.resize(std::min(max_count, latest.size()));
    for (auto const* it : latest)
        out.push_back(with_remaining(*it, now));
}

void crash_isolation::lift(fingerprint content, time_point now)
{
    isolation_mark value;
    value.content = content;
    if (auto const* const known = find(content, now))
        value = known->value;
    value.state = mark_state::cleared;
    value.crash_ids.clear();
    ++value.lifts;
    store(value, now);
    // A lift must outlive the isolation that it ends.
    marks_[content].expires = now + settings_.isolated_lifetime;
}

void crash_isolation::expire(time_point now)
{
    absl::erase_if(marks_,
                   [now](auto const& it) { return it.second.expires <= now; });
}

crash_isolation::stored_mark const* crash_isolation::find(fingerprint content,
                                                          time_point now) const
{
    auto const it = marks_.find(content);
    if (it == marks_.end() || it->second.expires <= now)
        return nullptr;
    return &it->second;
}

bool crash_isolation::is_suspect_or_isolated(fingerprint content,
                                             time_point now) const
{
    auto const* const known = find(content, now);
    return known != nullptr && known->value.state != mark_state::cleared;
}

void crash_isolation::store(isolation_mark const& value, time_point now)
{
    if (!marks_.contains(value.content))
        evict_if_full(now);
    auto& known = marks_[value.content];
    known.value = value;
    known.expires = now + lifetime_of(value.state);
    known.change_sequence = ++last_change_sequence_;
    known.unsent = true;
}

void crash_isolation::evict_if_full(time_point now)
{
    if (marks_.size() < settings_.max_marks)
        return;
    expire(now);
    if (marks_.size() < settings_.max_marks)
        return;
    // Evicts isolated content last, because without its mark it would crash
    // runners again.
    auto const less = [](auto const& a, auto const& b)
    {
        auto const left = a.second.value.state;
        auto const right = b.second.value.state;
        return left != right
                   ? left < right
                   : a.second.change_sequence < b.second.change_sequence;
    };
    marks_.erase(std::min_element(marks_.begin(), marks_.end(), less));
    ++counters_.dropped;
}

duration crash_isolation::lifetime_of(mark_state state) const
{
    switch (state)
    {
    case mark_state::isolated:
        return settings_.isolated_lifetime;
    case mark_state::suspect:
        return settings_.suspect_lifetime;
    case mark_state::cleared:
        break;
    }
    return settings_.cleared_lifetime;
}

crash_isolation::attempt crash_isolation::remove(runner_id runner,
                                                 fingerprint content)
{
    attempt removed{content, false};
    auto const it = in_flight_.find(runner);
    if (it == in_flight_.end())
        return removed;
    auto& running = it->second;
    auto const at = std::find_if(running.begin(), running.end(),
                                 [&](attempt const& other)
                                 { return other.content == content; });
    if (at == running.end())
        return removed;
    removed = *at;
    running.erase(at);
    if (running.empty())
        in_flight_.erase(it);
    return removed;
}

isolation_mark crash_isolation::with_remaining(stored_mark const& known,
                                               time_point now)
{
    isolation_mark value = known.value;
    value.remaining = known.expires - now;
    return value;
}

} // namespace buckthornvale::decision::isolation
