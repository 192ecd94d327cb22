#ifndef BUCKTHORNVALE_HTTP_TEXT_HPP
#define BUCKTHORNVALE_HTTP_TEXT_HPP

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

//! Functions on text that know nothing of locales.
namespace buckthornvale::http
{

bool equals_ignoring_case(std::string_view a, std::string_view b);
bool starts_ignoring_case(std::string_view text, std::string_view start);

//! Without blanks at both ends.
std::string_view trimmed(std::string_view text);

std::string lower_case(std::string_view text);

//! Parts between the separators; one part for a text without any.
std::vector<std::string_view> split(std::string_view text, char separator);

//! Parts before and after the first separator; the second is empty without.
std::pair<std::string_view, std::string_view> split_once(std::string_view text,
                                                         char separator);

//! Decodes "%41" and the like; empty when an escape is malformed.
std::optional<std::string> percent_decoded(std::string_view text);

//! Escapes all but letters, digits and "-._~".
std::string percent_encoded(std::string_view text);

//! Decoded value of the first parameter of the name in a query such as
//! "a=1&b=x%20y"; "+" stands for a blank. Empty without one, or when it is
//! malformed.
std::optional<std::string> query_parameter(std::string_view query,
                                           std::string_view name);

std::string concat(std::initializer_list<std::string_view> parts);

//! Reads a whole text as an unsigned decimal number; empty for anything else.
std::optional<std::uint64_t> parse_number(std::string_view text);
std::optional<std::uint64_t> parse_hex(std::string_view text);

//! Reads a whole text as a finite number; empty for anything else.
std::optional<double> parse_decimal(std::string_view text);

} // namespace buckthornvale::http

#endif
