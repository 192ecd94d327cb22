#ifndef BUCKTHORNVALE_STANDINS_PLATFORM_OBJECT_STORE_HPP
#define BUCKTHORNVALE_STANDINS_PLATFORM_OBJECT_STORE_HPP

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornvale::standins::platform
{

//! One object. Versions are revisions of the whole store.
struct stored_object
{
    std::string path;
    std::uint64_t version = 0;
    std::string value;
};

//! One change as a watch reports it.
struct store_event
{
    bool is_delete = false;
    stored_object object; //!< of a deletion: path and version only
};

//! Result of a conditional write.
struct write_result
{
    bool is_done = false;
    std::uint64_t version = 0;            //!< when done
    std::optional<stored_object> current; //!< on conflict; empty: none exists
};

//! One page of a list.
struct list_page
{
    std::vector<stored_object> items;
    std::optional<std::string> next; //!< value of `after` for the next page
    std::uint64_t revision = 0;
};

//! Events after a revision, or the notice that they are no longer kept.
struct watch_result
{
    bool is_compacted = false;
    bool is_interrupted = false;
    std::vector<store_event> events;
    std::uint64_t revision = 0;
};

//! In-memory object store with versions, conditional writes and watches.
//! Thread-safe.
class object_store
{
public:
    std::optional<stored_object> get(std::string const& path) const;

    //! Writes when the version in the store is `expected` (0: none exists).
    write_result put(std::string const& path, std::uint64_t expected,
                     std::string value);

    write_result remove(std::string const& path, std::uint64_t expected);

    //! Objects under the prefix in order of their paths, behind `after`.
    list_page list(std::string_view prefix, std::string const& after,
                   std::size_t limit) const;

    //! Waits for events under the prefix with a version above `from`.
    watch_result watch(std::string_view prefix, std::uint64_t from,
                       std::chrono::milliseconds timeout);

    //! Forgets all events, so that older watches are refused.
    void compact();

    //! Ends all waiting watches.
    void interrupt();

    std::uint64_t revision() const;

private:
    void append(store_event event);
    watch_result events_after(std::string_view prefix,
                              std::uint64_t from) const;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 0;
    std::uint64_t compacted_ = 0; //!< events up to here are not kept
    std::uint64_t interrupts_ = 0;
    std::map<std::string, stored_object> objects_;
    std::deque<store_event> events_;
};

} // namespace buckthornvale::standins::platform

#endif
