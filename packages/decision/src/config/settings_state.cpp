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

duration settings_state::jitter(duration longest)
{
    auto const fraction = random_() / 4294967296.;
    return from_seconds(to_seconds(longest) * fraction);
}

void settings_state::advance_revision(std::uint64_t revision)
{
    revision_ = std::max(revision_, revision);
    highest_reported_ = std::max(highest_reported_, revision_);
}

bool settings_state::apply_object(settings_object const& object,
                                  std::uint64_t copy_revision,
                                  std::vector<std::string>& changed_paths)
{
    auto it = objects_.find(object.path);
    if (it != objects_.end() && object.version <= it->second.version)
    {
        if (object.version < it->second.version)
            ++counters_.rejected_older;
        return false;
    }
    if (it == objects_.end())
    {
        // All changes up to the revision are known, so the path was deleted and
        // its tombstone has been discarded.
        if (complete_ && object.version <= revision_ &&
            copy_revision <= revision_)
        {
            ++counters_.rejected_older;
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
    changed_paths.push_back(object.path);
    return true;
}

void settings_state::delete_unlisted(snapshot const& list,
                                     std::vector<std::string>& changed_paths)
{
    std::vector<settings_object> deletions;
    for (auto const& it : objects_)
    {
        auto const& object = it.second;
        // Objects newer than the list were created after it.
        if (object.deleted || object.version > list.revision ||
            list.path_hashes.contains(stable_hash(it.first)))
            continue;
        deletions.push_back({it.first, list.revision, true, {}});
        // A path whose last change is the list's own revision needs a tombstone
        // with a higher version.
        if (object.version == list.revision)
            ++deletions.back().version;
    }
    for (auto const& it : deletions)
        apply_object(it, list.revision, changed_paths);
}

void settings_state::trim_tombstones()
{
    auto it = by_version_.begin();
    while (tombstones_ > settings_.max_tombstones && it != by_version_.end())
    {
        auto const existing = objects_.find(it->second);
        if (!existing->second.deleted)
        {
            ++it;
            continue;
        }
        tombstone_floor_ = std::max(tombstone_floor_, it->first);
        it = by_version_.erase(it);
        objects_.erase(existing);
        --tombstones_;
    }
}

void settings_state::emit_changes(std::vector<std::string> changed_paths,
                                  std::uint64_t previous_revision,
                                  time_point now, config_effects& out)
{
    trim_tombstones();
    if (!changed_paths.empty())
        out.emplace_back(settings_changed{std::move(changed_paths), revision_});
    if (revision_ != previous_revision)
        announce(now, out);
}

void settings_state::announce(time_point now, config_effects& out)
{
    last_announced_ = revision_;
    next_announce_at_ = now + settings_.announce_interval;
    out.emplace_back(announce_settings{{revision_, complete_}});
}

void settings_state::tick(time_point now, config_effects& out)
{
    if (!started_)
    {
        started_ = true;
        schedule_list(now);
        // Announces at once, since the first VMs of a fleet wait for each
        // other's reports.
        next_announce_at_ = now;
    }
    if (phase_ != store_phase::idle && now >= call_deadline_)
        store_failed(token_, now, out);
    if (phase_ == store_phase::idle && now >= next_call_at_)
    {
        if (list_needed_)
            start_list(now, out);
        else
            start_watch(now, out);
    }
    pull_if_behind(now, out);
    if (now >= next_announce_at_)
        announce(now, out);
}

void settings_state::schedule_list(time_point now)
{
    list_needed_ = true;
    partial_list_.reset();
    next_call_at_ = now + jitter(settings_.list_jitter);
}

void settings_state::start_list(time_point now, config_effects& out)
{
    if (!partial_list_)
        partial_list_ = snapshot{};
    phase_ = store_phase::listing;
    call_deadline_ = now + settings_.call_grace;
    ++counters_.lists;
    out.emplace_back(list_objects{++token_, settings_.prefix,
                                  partial_list_->after,
                                  settings_.max_page_items});
}

void settings_state::start_watch(time_point now, config_effects& out)
{
    phase_ = store_phase::watching;
    call_deadline_ = now + settings_.watch_timeout + settings_.call_grace;
    ++counters_.watches;
    out.emplace_back(watch_objects{++token_, settings_.prefix, revision_,
                                   settings_.watch_timeout});
}

void settings_state::list_page(list_answer const& answer, time_point now,
                               config_effects& out)
{
    if (answer.token != token_ || phase_ != store_phase::listing ||
        !partial_list_)
        return;
    phase_ = store_phase::idle;
    store_healthy_ = true;
    consecutive_failures_ = 0;
    auto const previous_revision = revision_;
    std::vector<std::string> changed_paths;
    // Later pages may be newer than the first one; the watch from the first
    // page's revision delivers the changes in between.
    if (partial_list_->after.empty())
        partial_list_->revision = answer.revision;
    for (auto const& it : answer.items)
    {
        partial_list_->path_hashes.insert(stable_hash(it.path));
        apply_object(it, answer.revision, changed_paths);
    }
    if (!answer.next.empty())
    {
        partial_list_->after = answer.next;
        next_call_at_ = now + settings_.page_interval;
        emit_changes(std::move(changed_paths), previous_revision, now, out);
        return;
    }
    delete_unlisted(*partial_list_, changed_paths);
    // A list does not contain deletes that precede it.
    tombstone_floor_ = std::max(tombstone_floor_, partial_list_->revision);
    advance_revision(partial_list_->revision);
    partial_list_.reset();
    list_needed_ = false;
    listed_ = true;
    complete_ = true;
    next_call_at_ = now;
    emit_changes(std::move(changed_paths), previous_revision, now, out);
}

void settings_state::watch_batch(watch_answer const& answer, time_point now,
                                 config_effects& out)
{
    if (answer.token != token_ || phase_ != store_phase::watching)
        return;
    phase_ = store_phase::idle;
    store_healthy_ = true;
    consecutive_failures_ = 0;
    next_call_at_ = now;
    auto const previous_revision = revision_;
    std::vector<std::string> changed_paths;
    for (auto const& it : answer.events)
        apply_object(it, answer.revision, changed_paths);
    // The watch started at an applied revision, so no change up to the answer's
    // revision is missing.
    advance_revision(answer.revision);
    emit_changes(std::move(changed_paths), previous_revision, now, out);
}

void settings_state::watch_gap(call_token token, time_point now,
                               config_effects&)
{
    if (token != token_ || phase_ != store_phase::watching)
        return;
    phase_ = store_phase::idle;
    ++counters_.gaps;
    schedule_list(now);
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
    schedule_retry(now);
    pull_if_behind(now, out);
}

void settings_state::schedule_retry(time_point now)
{
    auto const doublings =
        std::min(consecutive_failures_, max_backoff_doublings);
    auto const wait = std::min(settings_.backoff_first * (1 << doublings),
                               settings_.backoff_last);
    ++consecutive_failures_;
    next_call_at_ = now + wait / 2 + jitter(wait / 2);
}

void settings_state::set_peers(absl::Span<vm_id const> peers, time_point now)
{
    absl::flat_hash_map<vm_id, peer_state> retained;
    for (auto it : peers)
    {
        auto const known = peers_.find(it);
        retained[it] = known == peers_.end() ? peer_state{} : known->second;
    }
    // Announces the revision to new links at once.
    if (retained.size() > peers_.size())
        next_announce_at_ = std::min(next_announce_at_, now);
    peers_ = std::move(retained);
    if (pull_ && !peers_.contains(pull_->peer))
        pull_.reset();
}

void settings_state::handle_announcement(vm_id peer,
                                         revision_announcement const& message,
                                         time_point now, config_effects& out)
{
    auto const it = peers_.find(peer);
    if (it == peers_.end())
        return;
    it->second.responded = true;
    if (message.complete)
    {
        it->second.revision = std::max(it->second.revision, message.revision);
        highest_reported_ = std::max(highest_reported_, message.revision);
    }
    pull_if_behind(now, out);
}

std::optional<vm_id> settings_state::pull_source() const
{
    std::optional<vm_id> best;
    std::uint64_t highest = 0;
    for (auto const& it : peers_)
    {
        auto const revision = it.second.revision;
        bool const is_ahead = complete_ ? revision > revision_ : revision > 0;
        if (!is_ahead || (best && revision < highest) ||
            (best && revision == highest && *best < it.first))
            continue;
        best = it.first;
        highest = revision;
    }
    return best;
}

void settings_state::pull_if_behind(time_point now, config_effects& out)
{
    if (pull_ && now - pull_->started >= settings_.pull_timeout)
    {
        // Tries another peer first; this one is used again after its next
        // report.
        auto const it = peers_.find(pull_->peer);
        if (it != peers_.end())
            it->second.revision = 0;
        pull_.reset();
    }
    auto const source = pull_ ? std::nullopt : pull_source();
    if (!source)
    {
        pull_scheduled_ = false;
        return;
    }
    if (!pull_scheduled_)
    {
        pull_scheduled_ = true;
        // Gives a healthy watch time to deliver the change.
        auto const wait =
            store_healthy_ ? settings_.pull_delay : settings_.pull_delay / 10;
        pull_at_ = now + wait / 2 + jitter(wait / 2);
    }
    if (now < pull_at_)
        return;
    pull_scheduled_ = false;
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
    if (from == 0 && !pull_->full_copy)
        pull_->full_copy = snapshot{};
    if (!pull_->full_copy)
        pull_->base = from;
    ++counters_.pulls;
    out.emplace_back(pull_settings{peer, {from, pull_->base}});
}

void settings_state::handle_pull(vm_id peer, settings_pull const& message,
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
        out.emplace_back(std::move(push));
        return;
    }
    std::size_t bytes = 0;
    answer.up_to = std::max(revision_, message.from);
    auto it = by_version_.upper_bound(
        {message.from, std::string_view("\xff\xff\xff\xff")});
    for (; it != by_version_.end(); ++it)
    {
        // Objects newer than the revision are sent with a later page.
        if (it->first > revision_)
            break;
        auto const& object = objects_.find(it->second)->second;
        auto const size = object.path.size() + object.value.size();
        bool const first_of_version =
            answer.objects.empty() ||
            answer.objects.back().version != it->first;
        if (bytes + size > settings_.max_push_bytes &&
            !answer.objects.empty() && first_of_version)
        {
            answer.up_to = answer.objects.back().version;
            break;
        }
        bytes += size;
        answer.objects.push_back(object);
    }
    out.emplace_back(std::move(push));
}

void settings_state::handle_push(vm_id peer, settings_push const& message,
                                 time_point now, config_effects& out)
{
    auto const it = peers_.find(peer);
    bool const expected = it != peers_.end() && pull_ && pull_->peer == peer &&
                          pull_->from == message.from;
    if (!expected)
        return;
    it->second.responded = true;
    highest_reported_ = std::max(highest_reported_, message.revision);
    if (message.restart)
    {
        pull_.reset();
        start_pull(peer, 0, now, out);
        return;
    }
    if (pull_->full_copy && message.from == 0)
        pull_->base = message.revision;
    auto const previous_revision = revision_;
    std::vector<std::string> changed_paths;
    for (auto const& object : message.objects)
    {
        if (pull_->full_copy)
            pull_->full_copy->path_hashes.insert(stable_hash(object.path));
        apply_object(object, message.revision, changed_paths);
    }
    bool const has_more =
        message.up_to < message.revision && message.up_to > message.from;
    if (pull_->full_copy)
    {
        pull_->full_copy->revision = message.up_to;
        if (!has_more)
        {
            delete_unlisted(*pull_->full_copy, changed_paths);
            tombstone_floor_ = std::max(tombstone_floor_, message.up_to);
            complete_ = true;
            advance_revision(message.up_to);
        }
    }
    else
    {
        // The page has all changes since an applied revision, so the state is
        // complete up to the end of the page.
        advance_revision(message.up_to);
    }
    if (has_more)
    {
        start_pull(peer, message.up_to, now, out);
    }
    else
    {
        pull_.reset();
        pull_failures_ = 0;
    }
    emit_changes(std::move(changed_paths), previous_revision, now, out);
}

bool settings_state::enough_peers_responded() const
{
    auto const responded = static_cast<std::size_t>(
        std::count_if(peers_.begin(), peers_.end(),
                      [](auto const& it) { return it.second.responded; }));
    return responded >= std::min(settings_.min_peer_reports, peers_.size()) &&
           responded > 0;
}

bool settings_state::ready() const
{
    if (!complete_ || revision_ < highest_reported_)
        return false;
    return listed_ || enough_peers_responded();
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
