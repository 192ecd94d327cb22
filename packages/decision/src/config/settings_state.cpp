#include <buckthornvale/decision/config/settings_state.hpp>
#include <buckthornvale/decision/core/ids.hpp>

#include <algorithm>

namespace buckthornvale::decision::config
{

namespace
{

constexpr int max_backoff_doublings = 10;

} // namespace

settings_state::settings_state(config_settings settings, std::uint64_t seed)
    : settings_(std::move(settings)), random_(seed)
{
}

duration settings_state::jitter(duration most)
{
    auto const fraction = random_() / 4294967296.;
    return from_seconds(to_seconds(most) * fraction);
}

void settings_state::raise(std::uint64_t revision)
{
    revision_ = std::max(revision_, revision);
    highest_ = std::max(highest_, revision_);
}

bool settings_state::put(settings_object const& object, std::uint64_t as_of,
                         std::vector<std::string>& changed)
{
    auto it = objects_.find(object.path);
    if (it != objects_.end() && object.version <= it->second.version)
    {
        if (object.version < it->second.version)
            ++counters_.refused_lower;
        return false;
    }
    if (it == objects_.end())
    {
        // All changes up to the revision are known, so the path was deleted
        // and its tombstone forgotten.
        if (complete_ && object.version <= revision_ && as_of <= revision_)
        {
            ++counters_.refused_lower;
            return false;
        }
        if (objects_.size() >= settings_.max_objects)
            return false;
        it = objects_.emplace(object.path, settings_object{}).first;
    }
    else
    {
        by_version_.erase({it->second.version, it->first});
        tombstones_ -= it->second.deleted ? 1 : 0;
    }
    it->second = object;
    if (object.deleted)
        it->second.value.clear();
    tombstones_ += object.deleted ? 1 : 0;
    by_version_.emplace(object.version, it->first);
    changed.push_back(object.path);
    return true;
}

void settings_state::erase_unseen(snapshot const& list,
                                  std::vector<std::string>& changed)
{
    std::vector<settings_object> gone;
    for (auto const& it : objects_)
    {
        auto const& held = it.second;
        // What is newer than the list was created after it.
        if (held.deleted || held.version > list.revision ||
            list.seen.contains(stable_hash(it.first)))
            continue;
        gone.push_back({it.first, list.revision, true, {}});
        // A path whose last change is the list's own revision needs a higher
        // version to be replaced by its tombstone.
        if (held.version == list.revision)
            ++gone.back().version;
    }
    for (auto const& it : gone)
        put(it, list.revision, changed);
}

void settings_state::trim_tombstones()
{
    auto it = by_version_.begin();
    while (tombstones_ > settings_.max_tombstones && it != by_version_.end())
    {
        auto const held = objects_.find(it->second);
        if (!held->second.deleted)
        {
            ++it;
            continue;
        }
        tombstone_floor_ = std::max(tombstone_floor_, it->first);
        it = by_version_.erase(it);
        objects_.erase(held);
        --tombstones_;
    }
}

void settings_state::report(std::vector<std::string> changed,
                            std::uint64_t before, time_point now,
                            config_effects& out)
{
    trim_tombstones();
    if (!changed.empty())
        out.push_back(settings_changed{std::move(changed), revision_});
    if (revision_ != before)
        announce(now, out);
}

void settings_state::announce(time_point now, config_effects& out)
{
    announced_ = revision_;
    next_announce_ = now + settings_.announce_interval;
    out.push_back(announce_settings{{revision_, complete_}});
}

void settings_state::tick(time_point now, config_effects& out)
{
    if (!started_)
    {
        started_ = true;
        plan_list(now);
        // The first VMs of a fleet should not wait for nothing.
        next_announce_ = now;
    }
    if (phase_ != store_phase::idle && now >= call_deadline_)
        store_failed(token_, now, out);
    if (phase_ == store_phase::idle && now >= next_call_)
    {
        if (list_wanted_)
            start_list(now, out);
        else
            start_watch(now, out);
    }
    consider_pull(now, out);
    if (now >= next_announce_)
        announce(now, out);
}

void settings_state::plan_list(time_point now)
{
    list_wanted_ = true;
    list_.reset();
    next_call_ = now + jitter(settings_.list_jitter);
}

void settings_state::start_list(time_point now, config_effects& out)
{
    if (!list_)
        list_ = snapshot{};
    phase_ = store_phase::listing;
    call_deadline_ = now + settings_.call_grace;
    ++counters_.lists;
    out.push_back(list_objects{++token_, settings_.prefix, list_->after,
                               settings_.page_items});
}

void settings_state::start_watch(time_point now, config_effects& out)
{
    phase_ = store_phase::watching;
    call_deadline_ = now + settings_.watch_timeout + settings_.call_grace;
    ++counters_.watches;
    out.push_back(watch_objects{++token_, settings_.prefix, revision_,
                                settings_.watch_timeout});
}

void settings_state::list_page(list_answer const& answer, time_point now,
                               config_effects& out)
{
    if (answer.token != token_ || phase_ != store_phase::listing || !list_)
        return;
    phase_ = store_phase::idle;
    store_healthy_ = true;
    failures_ = 0;
    auto const before = revision_;
    std::vector<std::string> changed;
    // Later pages may be newer; the watch from the first page's revision gives
    // what changed in between.
    if (list_->after.empty())
        list_->revision = answer.revision;
    for (auto const& it : answer.items)
    {
        list_->seen.insert(stable_hash(it.path));
        put(it, answer.revision, changed);
    }
    if (!answer.next.empty())
    {
        list_->after = answer.next;
        next_call_ = now + settings_.page_interval;
        report(std::move(changed), before, now, out);
        return;
    }
    erase_unseen(*list_, changed);
    // A list does not show what was deleted before it.
    tombstone_floor_ = std::max(tombstone_floor_, list_->revision);
    raise(list_->revision);
    list_.reset();
    list_wanted_ = false;
    listed_ = true;
    complete_ = true;
    next_call_ = now;
    report(std::move(changed), before, now, out);
}

void settings_state::watch_batch(watch_answer const& answer, time_point now,
                                 config_effects& out)
{
    if (answer.token != token_ || phase_ != store_phase::watching)
        return;
    phase_ = store_phase::idle;
    store_healthy_ = true;
    failures_ = 0;
    next_call_ = now;
    auto const before = revision_;
    std::vector<std::string> changed;
    for (auto const& it : answer.events)
        put(it, answer.revision, changed);
    // The watch started at a revision that was in force, so nothing is missing
    // between it and the answer's revision.
    raise(answer.revision);
    report(std::move(changed), before, now, out);
}

void settings_state::watch_gap(call_token token, time_point now,
                               config_effects&)
{
    if (token != token_ || phase_ != store_phase::watching)
        return;
    phase_ = store_phase::idle;
    ++counters_.gaps;
    plan_list(now);
}

void settings_state::store_failed(call_token token, time_point now,
                                  config_effects& out)
{
    if (token != token_ || phase_ == store_phase::idle)
        return;
    phase_ = store_phase::idle;
    store_healthy_ = false;
    ++counters_.store_failures;
    ++token_;
    back_off(now);
    consider_pull(now, out);
}

void settings_state::back_off(time_point now)
{
    auto const doublings = std::min(failures_, max_backoff_doublings);
    auto const wait = std::min(settings_.backoff_first * (1 << doublings),
                               settings_.backoff_last);
    ++failures_;
    next_call_ = now + wait / 2 + jitter(wait / 2);
}

void settings_state::set_peers(absl::Span<vm_id const> peers, time_point now)
{
    absl::flat_hash_map<vm_id, peer_state> kept;
    for (auto it : peers)
    {
        auto const held = peers_.find(it);
        kept[it] = held == peers_.end() ? peer_state{} : held->second;
    }
    // New links learn the revision at once.
    if (kept.size() > peers_.size())
        next_announce_ = std::min(next_announce_, now);
    peers_ = std::move(kept);
    if (pull_ && !peers_.contains(pull_->peer))
        pull_.reset();
}

void settings_state::peer_have(vm_id peer, settings_have const& message,
                               time_point now, config_effects& out)
{
    auto const it = peers_.find(peer);
    if (it == peers_.end())
        return;
    it->second.answered = true;
    if (message.complete)
    {
        it->second.revision = std::max(it->second.revision, message.revision);
        highest_ = std::max(highest_, message.revision);
    }
    consider_pull(now, out);
}

std::optional<vm_id> settings_state::pull_source() const
{
    std::optional<vm_id> best;
    std::uint64_t most = 0;
    for (auto const& it : peers_)
    {
        auto const revision = it.second.revision;
        bool const useful = complete_ ? revision > revision_ : revision > 0;
        if (!useful || (best && revision < most) ||
            (best && revision == most && *best < it.first))
            continue;
        best = it.first;
        most = revision;
    }
    return best;
}

void settings_state::consider_pull(time_point now, config_effects& out)
{
    if (pull_ && now - pull_->started >= settings_.pull_timeout)
    {
        // Another peer may have it; this one is asked again after its next
        // report.
        auto const it = peers_.find(pull_->peer);
        if (it != peers_.end())
            it->second.revision = 0;
        pull_.reset();
    }
    auto const source = pull_ ? std::nullopt : pull_source();
    if (!source)
    {
        pull_planned_ = false;
        return;
    }
    if (!pull_planned_)
    {
        pull_planned_ = true;
        // A healthy watch delivers the change by itself.
        auto const wait =
            store_healthy_ ? settings_.pull_delay : settings_.pull_delay / 10;
        pull_after_ = now + wait / 2 + jitter(wait / 2);
    }
    if (now < pull_after_)
        return;
    pull_planned_ = false;
    start_pull(*source, complete_ ? revision_ : 0, now, out);
}

void settings_state::start_pull(vm_id peer, std::uint64_t from, time_point now,
                                config_effects& out)
{
    if (!pull_)
        pull_ = pull_state{};
    pull_->peer = peer;
    pull_->from = from;
    pull_->started = now;
    if (from == 0 && !pull_->full)
        pull_->full = snapshot{};
    if (!pull_->full)
        pull_->base = from;
    ++counters_.pulls;
    out.push_back(pull_settings{peer, {from, pull_->base}});
}

void settings_state::peer_pull(vm_id peer, settings_pull const& message,
                               time_point, config_effects& out)
{
    if (!complete_)
        return;
    ++counters_.pushes;
    push_settings push{peer, {}};
    auto& answer = push.message;
    answer.from = message.from;
    answer.revision = revision_;
    if (message.from != 0 && message.base < tombstone_floor_)
    {
        answer.restart = true;
        answer.up_to = message.from;
        out.push_back(std::move(push));
        return;
    }
    std::size_t bytes = 0;
    answer.up_to = std::max(revision_, message.from);
    auto it = by_version_.upper_bound(
        {message.from, std::string_view("\xff\xff\xff\xff")});
    for (; it != by_version_.end(); ++it)
    {
        // Settings that are newer than the revision come with a later page.
        if (it->first > revision_)
            break;
        auto const& object = objects_.find(it->second)->second;
        auto const size = object.path.size() + object.value.size();
        bool const first_of_version =
            answer.objects.empty() ||
            answer.objects.back().version != it->first;
        if (bytes + size > settings_.push_bytes && !answer.objects.empty() &&
            first_of_version)
        {
            answer.up_to = answer.objects.back().version;
            break;
        }
        bytes += size;
        answer.objects.push_back(object);
    }
    out.push_back(std::move(push));
}

void settings_state::peer_push(vm_id peer, settings_push const& message,
                               time_point now, config_effects& out)
{
    auto const it = peers_.find(peer);
    bool const expected = it != peers_.end() && pull_ && pull_->peer == peer &&
                          pull_->from == message.from;
    if (!expected)
        return;
    it->second.answered = true;
    highest_ = std::max(highest_, message.revision);
    if (message.restart)
    {
        pull_.reset();
        start_pull(peer, 0, now, out);
        return;
    }
    if (pull_->full && message.from == 0)
        pull_->base = message.revision;
    auto const before = revision_;
    std::vector<std::string> changed;
    for (auto const& object : message.objects)
    {
        if (pull_->full)
            pull_->full->seen.insert(stable_hash(object.path));
        put(object, message.revision, changed);
    }
    bool const more =
        message.up_to < message.revision && message.up_to > message.from;
    if (pull_->full)
    {
        pull_->full->revision = message.up_to;
        if (!more)
        {
            erase_unseen(*pull_->full, changed);
            tombstone_floor_ = std::max(tombstone_floor_, message.up_to);
            complete_ = true;
            raise(message.up_to);
        }
    }
    else
    {
        // Complete up to the page's end: it has all changes since a revision
        // that was in force.
        raise(message.up_to);
    }
    if (more)
    {
        start_pull(peer, message.up_to, now, out);
    }
    else
    {
        pull_.reset();
        pull_failures_ = 0;
    }
    report(std::move(changed), before, now, out);
}

bool settings_state::enough_peers() const
{
    auto const answered = static_cast<std::size_t>(
        std::count_if(peers_.begin(), peers_.end(),
                      [](auto const& it) { return it.second.answered; }));
    return answered >= std::min(settings_.start_peers, peers_.size()) &&
           answered > 0;
}

bool settings_state::ready() const
{
    if (!complete_ || revision_ < highest_)
        return false;
    return listed_ || enough_peers();
}

settings_object const* settings_state::find(std::string_view path) const
{
    auto const it = objects_.find(path);
    if (it == objects_.end() || it->second.deleted)
        return nullptr;
    return &it->second;
}

std::uint64_t settings_state::version_of(std::string_view path) const
{
    auto const it = objects_.find(path);
    return it == objects_.end() ? 0 : it->second.version;
}

} // namespace buckthornvale::decision::config
