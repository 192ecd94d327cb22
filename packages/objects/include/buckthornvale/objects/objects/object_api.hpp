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

//! Outcome of an object API call.
enum class call_status
{
    done,        //!< succeeded; the result is valid
    not_found,   //!< reads: no such object
    conflict,    //!< writes: not applied, version mismatch
    compacted,   //!< watches: the revision was compacted; list again
    not_sent,    //!< connecting failed; certainly not applied
    unavailable, //!< 503 or 429; certainly not applied, retry later
    rejected,    //!< malformed or too large; not applied, do not retry
    unknown      //!< may have been applied, e.g. the response was lost
};

std::string_view name_of(call_status status);

//! True when a write with this status certainly had no effect.
bool is_not_applied(call_status status);

//! Stored object. Its version is the store-wide revision of its last write.
struct object
{
    std::string path;
    std::uint64_t version = 0;
    std::string value;
};

//! Result of a read; `value` is only valid when the status is done.
template <class Value>
struct read_result
{
    call_status status = call_status::unknown;
    Value value{};
    std::string detail; //!< for log and error messages

    bool is_done() const { return status == call_status::done; }
};

//! Result of a conditional write.
struct write_result
{
    call_status status = call_status::unknown;
    std::uint64_t version = 0;     //!< new version, when done
    std::optional<object> current; //!< on conflict; nullopt if none exists
    std::string detail;            //!< for log and error messages

    bool is_done() const { return status == call_status::done; }
};

//! Page of a list, ordered by path.
struct object_page
{
    std::vector<object> items;
    std::optional<std::string> next; //!< `after` argument for the next page
    std::uint64_t revision = 0;      //!< store revision at the time of the read
};

//! Change to one object.
struct object_event
{
    bool is_delete = false;
    object changed; //!< for a deletion: path and version only
};

//! Changes after a revision, and the revision to pass to the next watch.
struct object_changes
{
    std::vector<object_event> events;
    std::uint64_t revision = 0;
};

//! Role of a VM in the platform's VM list.
enum class vm_role
{
    entry,
    runner
};

//! Entry in the platform's VM list.
struct platform_vm
{
    std::string id;
    vm_role role = vm_role::entry;
    std::string address;      //!< IP:port of the HTTP front end
    std::string peer_address; //!< IP:port of the peer link
    std::string failure_domain;
    bool is_leaving = false;
};

//! The platform's object API, see section 4.2 of docs/design.md. Calls block.
//! All methods are thread-safe.
class object_api
{
public:
    object_api() = default;
    object_api(object_api const&) = delete;
    object_api& operator=(object_api const&) = delete;
    virtual ~object_api() = default;

    virtual read_result<object> get(std::string const& path) = 0;

    //! Writes if the current version is `expected`; 0 creates the object.
    virtual write_result put(std::string const& path, std::uint64_t expected,
                             std::string const& value) = 0;

    virtual write_result remove(std::string const& path,
                                std::uint64_t expected) = 0;

    virtual read_result<object_page> list(std::string const& prefix,
                                          std::string const& after,
                                          std::size_t limit) = 0;

    //! Waits up to `timeout` for changes after revision `from`.
    virtual read_result<object_changes> watch(std::string const& prefix,
                                              std::uint64_t from,
                                              decision::duration timeout) = 0;

    virtual read_result<std::vector<platform_vm>> vms() = 0;

    //! Cancels pending watches. A watch that is just starting can miss the
    //! cancellation, so callers repeat it until the watch has returned.
    virtual void cancel_watches() = 0;
};

//! Reads all pages of a list. The result has the revision of the first page, so
//! that a watch from there sees all changes made while reading later pages.
read_result<object_page> list_all(object_api& api, std::string const& prefix,
                                  std::size_t page_limit);

} // namespace buckthornvale::objects

#endif
