#ifndef BUCKTHORNVALE_OBJECTS_OBJECTS_OBJECT_API_HPP
#define BUCKTHORNVALE_OBJECTS_OBJECTS_OBJECT_API_HPP

#include <buckthornvale/decision/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornvale::objects
{

//! What is known about a call of the object API.
enum class call_status
{
    done,        //!< took effect; the result is valid
    not_found,   //!< reads: no such object
    conflict,    //!< writes: not applied, the version was another
    compacted,   //!< watches: the revision is no longer kept; list again
    not_sent,    //!< the connection was refused; provably not applied
    unavailable, //!< 503 or 429; provably not applied, try again later
    rejected,    //!< malformed or too large; not applied, do not repeat
    unknown      //!< the connection was lost after a byte was written
};

std::string_view name_of(call_status status);

//! True when a write with this status provably had no effect.
bool is_not_applied(call_status status);

//! One object; versions are revisions of the whole store.
struct object
{
    std::string path;
    std::uint64_t version = 0;
    std::string value;
};

//! Result of a read; `value` is valid when the status is done.
template <class Value>
struct read_result
{
    call_status status = call_status::unknown;
    Value value{};
    std::string detail; //!< for messages

    bool is_done() const { return status == call_status::done; }
};

//! Result of a conditional write.
struct write_result
{
    call_status status = call_status::unknown;
    std::uint64_t version = 0;     //!< when done: the new version
    std::optional<object> current; //!< on conflict; empty: none exists
    std::string detail;            //!< for messages

    bool is_done() const { return status == call_status::done; }
};

//! One page of a list in order of paths.
struct object_page
{
    std::vector<object> items;
    std::optional<std::string> next; //!< `after` of the next page
    std::uint64_t revision = 0;      //!< of the store when it was read
};

//! One change.
struct object_event
{
    bool is_delete = false;
    object changed; //!< of a deletion: its path and version
};

//! Changes after a revision, and the revision to watch from next.
struct object_changes
{
    std::vector<object_event> events;
    std::uint64_t revision = 0;
};

//! What a VM of the platform's list runs.
enum class vm_role
{
    entry,
    runner
};

//! One VM of the platform's list.
struct platform_vm
{
    std::string id;
    vm_role role = vm_role::entry;
    std::string address;      //!< IP:port of the HTTP front end
    std::string peer_address; //!< IP:port of the peer link
    std::string failure_domain;
    bool is_leaving = false;
};

//! The platform's object API, design 4.2. Calls block; all methods may be
//! called from several threads.
class object_api
{
public:
    object_api() = default;
    object_api(object_api const&) = delete;
    object_api& operator=(object_api const&) = delete;
    virtual ~object_api() = default;

    virtual read_result<object> get(std::string const& path) = 0;

    //! Writes when the current version is `expected`; 0 creates.
    virtual write_result put(std::string const& path, std::uint64_t expected,
                             std::string const& value) = 0;

    virtual write_result remove(std::string const& path,
                                std::uint64_t expected) = 0;

    virtual read_result<object_page> list(std::string const& prefix,
                                          std::string const& after,
                                          std::size_t limit) = 0;

    //! Waits for changes after `from`, at most `timeout`.
    virtual read_result<object_changes> watch(std::string const& prefix,
                                              std::uint64_t from,
                                              decision::duration timeout) = 0;

    virtual read_result<std::vector<platform_vm>> vms() = 0;

    //! Ends waiting watches. A watch that is just being started can miss it,
    //! so that a caller repeats it until the watch has returned.
    virtual void cancel_watches() = 0;
};

//! Lists all pages. The revision is that of the first page, so that a watch
//! from it sees every change made while the later pages were read.
read_result<object_page> list_all(object_api& api, std::string const& prefix,
                                  std::size_t page_limit);

} // namespace buckthornvale::objects

#endif
