#ifndef BUCKTHORNVALE_OBJECTS_OBJECTS_OBJECT_CODEC_HPP
#define BUCKTHORNVALE_OBJECTS_OBJECTS_OBJECT_CODEC_HPP

#include <buckthornvale/objects/objects/object_api.hpp>

#include <stdexcept>
#include <string>
#include <string_view>

namespace buckthornvale::objects
{

//! Thrown for a response body that does not match the documented format.
class malformed_response : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

// Parsers for response bodies, see section 4.2 of docs/design.md. All throw
// malformed_response.

//! Response to a GET of an object.
object parse_stored_object(std::string_view body);

object_page parse_page(std::string_view body);

object_changes parse_changes(std::string_view body);

std::vector<platform_vm> parse_vms(std::string_view body);

//! Response to a successful write: the new version.
std::uint64_t parse_written_version(std::string_view body);

//! Response to a write of `path` that conflicted: the current object, or
//! nullopt when none exists.
std::optional<object> parse_conflict(std::string_view body,
                                     std::string const& path);

} // namespace buckthornvale::objects

#endif
