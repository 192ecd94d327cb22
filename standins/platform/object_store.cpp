#include "object_store.hpp"

#include <algorithm>

namespace buckthornvale::standins::platform
{

namespace
{

// Events beyond this number are compacted.
constexpr std::size_t kept_events = 10'000;

bool has_prefix(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

} // namespace

std::optional<stored_object> object_store::get(std::string const& path) const
{
    std::lock_guard const lock(mutex_);
    auto const it = objects_.find(path);
    return it == objects_.end() ? std::nullopt : std::optional(it->second);
}

write_result object_store::put(std::string const& path, std::uint64_t expected,
                               std::string value)
{
    std::lock_guard const lock(mutex_);
    auto const it = objects_.find(path);
    auto const version = it == objects_.end() ? 0 : it->second.version;
    if (version != expected)
    {
        return {false, 0,
                version == 0 ? std::nullopt : std::optional(it->second)};
    }
    stored_object object{path, ++revision_, std::move(value)};
    objects_[path] = object;
    append({false, std::move(object)});
    return {true, revision_, std::nullopt};
}

write_result object_store::remove(std::string const& path,
                                  std::uint64_t expected)
{
    std::lock_guard const lock(mutex_);
    auto const it = objects_.find(path);
    if (it == objects_.end())
        return {};
    if (it->second.version != expected)
        return {false, 0, it->second};
    objects_.erase(it);
    ++revision_;
    append({true, {path, revision_, {}}});
    return {true, revision_, std::nullopt};
}

list_page object_store::list(std::string_view prefix, std::string const& after,
                             std::size_t limit) const
{
    std::lock_guard const lock(mutex_);
    list_page page;
    page.revision = revision_;
    auto it = after.empty() ? objects_.lower_bound(std::string(prefix))
                            : objects_.upper_bound(after);
    for (; it != objects_.end() && has_prefix(it->first, prefix); ++it)
    {
        if (page.items.size() == limit)
        {
            page.next = page.items.back().path;
            break;
        }
        page.items.push_back(it->second);
    }
    return page;
}

watch_result object_store::watch(std::string_view prefix, std::uint64_t from,
                                 std::chrono::milliseconds timeout)
{
    std::unique_lock lock(mutex_);
    auto const interrupts = interrupts_;
    watch_result result;
    auto const is_over = [&]
    {
        result = events_after(prefix, from);
        result.is_interrupted = interrupts != interrupts_;
        return result.is_interrupted || result.is_compacted ||
               !result.events.empty();
    };
    changed_.wait_for(lock, timeout, is_over);
    return result;
}

void object_store::compact()
{
    std::lock_guard const lock(mutex_);
    events_.clear();
    // One above the revision: also a watch that is up to date is refused.
    compacted_ = ++revision_;
    changed_.notify_all();
}

void object_store::interrupt()
{
    std::lock_guard const lock(mutex_);
    ++interrupts_;
    changed_.notify_all();
}

std::uint64_t object_store::revision() const
{
    std::lock_guard const lock(mutex_);
    return revision_;
}

void object_store::append(store_event event)
{
    events_.push_back(std::move(event));
    if (events_.size() > kept_events)
    {
        compacted_ = events_.front().object.version;
        events_.pop_front();
    }
    changed_.notify_all();
}

watch_result object_store::events_after(std::string_view prefix,
                                        std::uint64_t from) const
{
    watch_result result;
    result.revision = revision_;
    result.is_compacted = from < compacted_;
    if (result.is_compacted)
        return result;
    auto const first =
        std::upper_bound(events_.begin(), events_.end(), from,
                         [](std::uint64_t version, store_event const& it)
                         { return version < it.object.version; });
    for (auto it = first; it != events_.end(); ++it)
    {
        if (has_prefix(it->object.path, prefix))
            result.events.push_back(*it);
    }
    return result;
}

} // namespace buckthornvale::standins::platform
