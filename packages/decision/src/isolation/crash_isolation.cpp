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

verdict crash_isolation::check(fingerprint content, time_point now)
{
    auto const* const kept = find(content, now);
    if (kept == nullptr || kept->value.state == mark_state::cleared)
        return verdict::clear;
    if (kept->value.state == mark_state::suspect && links_up_)
        return verdict::run_alone;
    ++counters_.refused;
    return verdict::refused;
}

bool crash_isolation::may_share(runner_id runner, fingerprint content,
                                time_point now) const
{
    auto const it = in_flight_.find(runner);
    if (it == in_flight_.end() || it->second.empty())
        return true;
    if (is_suspect(content, now))
        return false;
    auto const& there = it->second;
    return std::none_of(there.begin(), there.end(),
                        [&](attempt const& other)
                        { return is_suspect(other.content, now); });
}

void crash_isolation::started(runner_id runner, fingerprint content, time_point)
{
    auto& there = in_flight_[runner];
    bool const alone = there.empty();
    for (auto& it : there)
        it.alone = false;
    there.push_back({content, alone});
}

void crash_isolation::finished(runner_id runner, fingerprint content,
                               time_point now)
{
    auto const ended = remove(runner, content);
    auto const* const kept = find(content, now);
    bool const suspect =
        kept != nullptr && kept->value.state == mark_state::suspect;
    if (!suspect || !ended.alone)
        return;
    ++counters_.cleared;
    mark value = kept->value;
    value.state = mark_state::cleared;
    value.crash_ids.clear();
    ++value.clears;
    store(value, now);
}

void crash_isolation::abandoned(runner_id runner, fingerprint content,
                                time_point)
{
    remove(runner, content);
}

void crash_isolation::crashed(runner_id runner, time_point now)
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
        // Two copies of one content on a runner are one crash of it.
        if (std::none_of(lost.begin(), lost.begin() + i, same))
            note_crash(lost[i], crash_id, now);
    }
}

void crash_isolation::note_crash(attempt const& lost, std::uint64_t crash_id,
                                 time_point now)
{
    auto const* const kept = find(lost.content, now);
    mark value;
    value.content = lost.content;
    if (kept != nullptr)
        value = kept->value;
    bool const was_suspect =
        kept != nullptr && value.state == mark_state::suspect;
    add_crash(value, crash_id);
    bool const isolated = (was_suspect && lost.alone) ||
                          value.state == mark_state::isolated ||
                          value.crash_ids.size() >= settings_.crash_bound;
    value.state = isolated ? mark_state::isolated : mark_state::suspect;
    ++(isolated ? counters_.isolated : counters_.suspects);
    store(value, now);
}

bool crash_isolation::apply_mark(mark const& value, time_point now)
{
    if (value.remaining <= duration::zero())
        return false;
    auto const* const kept = find(value.content, now);
    auto merged = kept == nullptr ? value : merge(kept->value, value);
    if (kept != nullptr && same_knowledge(merged, kept->value))
        return false;
    if (merged.state == mark_state::suspect &&
        merged.crash_ids.size() >= settings_.crash_bound)
    {
        // Nobody else may know both crashes, so this isolation starts here.
        merged.state = mark_state::isolated;
        ++counters_.isolated;
        store(merged, now);
        return true;
    }
    store(merged, now);
    // A mark never outlives the time its sender gave it, so that marks which
    // VMs repeat to each other expire.
    auto& stored = marks_[value.content];
    stored.expires = std::min(stored.expires, now + value.remaining);
    return true;
}

void crash_isolation::take_marks(time_point now, std::vector<mark>& out)
{
    for (auto& it : marks_)
    {
        auto& kept = it.second;
        if (!kept.unsent)
            continue;
        kept.unsent = false;
        if (kept.expires > now)
            out.push_back(with_remaining(kept, now));
    }
}

void crash_isolation::recent_marks(time_point now, std::size_t most,
                                   std::vector<mark>& out) const
{
    std::vector<kept_mark const*> latest;
    for (auto const& it : marks_)
    {
        if (it.second.expires > now)
            latest.push_back(&it.second);
    }
    auto const later = [](kept_mark const* a, kept_mark const* b)
    { return a->changed > b->changed; };
    std::sort(latest.begin(), latest.end(), later);
    latest.resize(std::min(most, latest.size()));
    for (auto const* it : latest)
        out.push_back(with_remaining(*it, now));
}

void crash_isolation::lift(fingerprint content, time_point now)
{
    mark value;
    value.content = content;
    if (auto const* const kept = find(content, now))
        value = kept->value;
    value.state = mark_state::cleared;
    value.crash_ids.clear();
    ++value.lifts;
    store(value, now);
    // A lift outlives the isolation that it ends.
    marks_[content].expires = now + settings_.isolated_lifetime;
}

void crash_isolation::expire(time_point now)
{
    absl::erase_if(marks_,
                   [now](auto const& it) { return it.second.expires <= now; });
}

crash_isolation::kept_mark const* crash_isolation::find(fingerprint content,
                                                        time_point now) const
{
    auto const it = marks_.find(content);
    if (it == marks_.end() || it->second.expires <= now)
        return nullptr;
    return &it->second;
}

bool crash_isolation::is_suspect(fingerprint content, time_point now) const
{
    auto const* const kept = find(content, now);
    return kept != nullptr && kept->value.state != mark_state::cleared;
}

void crash_isolation::store(mark const& value, time_point now)
{
    if (!marks_.contains(value.content))
        make_room(now);
    auto& kept = marks_[value.content];
    kept.value = value;
    kept.expires = now + lifetime_of(value.state);
    kept.changed = ++changes_;
    kept.unsent = true;
}

void crash_isolation::make_room(time_point now)
{
    if (marks_.size() < settings_.most_marks)
        return;
    expire(now);
    if (marks_.size() < settings_.most_marks)
        return;
    // Isolated content goes last: forgetting it costs runners again.
    auto const less = [](auto const& a, auto const& b)
    {
        auto const left = a.second.value.state;
        auto const right = b.second.value.state;
        return left != right ? left < right
                             : a.second.changed < b.second.changed;
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
    auto& there = it->second;
    auto const at = std::find_if(there.begin(), there.end(),
                                 [&](attempt const& other)
                                 { return other.content == content; });
    if (at == there.end())
        return removed;
    removed = *at;
    there.erase(at);
    if (there.empty())
        in_flight_.erase(it);
    return removed;
}

mark crash_isolation::with_remaining(kept_mark const& kept, time_point now)
{
    mark value = kept.value;
    value.remaining = kept.expires - now;
    return value;
}

} // namespace buckthornvale::decision::isolation
