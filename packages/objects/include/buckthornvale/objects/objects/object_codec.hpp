#ifndef BUCKTHORNVALE_OBJECTS_OBJECTS_OBJECT_CODEC_HPP
#define BUCKTHORNVALE_OBJECTS_OBJECTS_OBJECT_CODEC_HPP

#include <buckthornvale/objects/objects/object_api.hpp>

#include <stdexcept>
#include <string>
#include <string_view>

namespace buckthornvale::objects
{

//! A response body of the object API that is not as documented.
class malformed_response : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

// Parsers of response bodies, design 4.2. All throw malformed_response.

//! GET of an object.
object parse_stored_object(std::string_view body);

object_page parse_page(std::string_view body);

object_changes parse_changes(std::string_view body);

std::vector<platform_vm> parse_vms(std::string_view body);

//! Version after a write that took effect.
std::uint64_t parse_written_version(std::string_view body);

//! Current object after a refused write of `path`; empty when none exists.
std::optional<object> parse_conflict(std::string_view body,
                                     std::string const& path);

} // namespace buckthornvale::objects

#endif
