#ifndef BUCKTHORNVALE_DOCUMENTS_JSON_TEXT_HPP
#define BUCKTHORNVALE_DOCUMENTS_JSON_TEXT_HPP

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace buckthornvale::documents
{

//! Deepest nesting of a document that is parsed. nlohmann-json writes values
//! recursively, so unbounded nesting could exhaust the stack.
constexpr std::size_t max_json_depth = 64;

//! Parses a document; nothing when it is malformed or nested too deeply.
std::optional<nlohmann::json> parse_json(std::string_view text);

//! The text of one member's value in an object that parse_json accepted, as it
//! came; empty when there is none. Keeps numbers that a double cannot hold.
std::string_view raw_member(std::string_view object, std::string_view name);

//! Writes a value; text that is not UTF-8 is replaced.
std::string write_json(nlohmann::json const& value);

//! Adds a member with the raw JSON text `value` to the written object.
void append_raw_member(std::string& object, std::string_view name,
                       std::string_view value);

} // namespace buckthornvale::documents

#endif
