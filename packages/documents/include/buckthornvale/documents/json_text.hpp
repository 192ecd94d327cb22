#ifndef BUCKTHORNVALE_DOCUMENTS_JSON_TEXT_HPP
#define BUCKTHORNVALE_DOCUMENTS_JSON_TEXT_HPP

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornvale::documents
{

//! Default maximum nesting depth of parse_json. nlohmann-json copies and
//! serialises values recursively, so unbounded nesting could exhaust the stack.
constexpr std::size_t max_json_depth = 64;

//! Limit of a document's nesting depth.
struct json_depth_limit
{
    std::size_t max_depth = max_json_depth;
    //! Whether an array or object counts as a level when it is empty.
    bool counts_empty = true;
};

//! Parses a document; nullopt when it is malformed or nested too deeply.
std::optional<nlohmann::json> parse_json(std::string_view text,
                                         json_depth_limit limit = {});

//! Unmodified text of a member's value in an object that parse_json accepted;
//! empty when there is no such member. Preserves numbers that a double cannot
//! represent.
std::string_view raw_member(std::string_view object, std::string_view name);

//! Unmodified texts of the elements of an array. Strings and the nesting of
//! brackets have to be intact, but an element may be malformed otherwise.
std::vector<std::string_view> raw_elements(std::string_view array);

//! Serialises a value and replaces invalid UTF-8 in strings.
std::string write_json(nlohmann::json const& value);

//! Appends a member with the JSON text `value` to a serialised object. `name`
//! is not escaped.
void append_raw_member(std::string& object, std::string_view name,
                       std::string_view value);

} // namespace buckthornvale::documents

#endif
