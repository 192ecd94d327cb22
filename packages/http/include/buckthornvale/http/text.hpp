#ifndef BUCKTHORNVALE_HTTP_TEXT_HPP
#define BUCKTHORNVALE_HTTP_TEXT_HPP

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

//! Locale-independent text functions.
namespace buckthornvale::http
{

bool equals_ignoring_case(std::string_view a, std::string_view b);
bool starts_ignoring_case(std::string_view text, std::string_view start);

//! Removes leading and trailing whitespace.
std::string_view trimmed(std::string_view text);

std::string lower_case(std::string_view text);

//! Splits at each separator; text without a separator gives one part.
std::vector<std::string_view> split(std::string_view text, char separator);

//! Splits at the first separator; without one, the second part is empty.
std::pair<std::string_view, std::string_view> split_once(std::string_view text,
                                                         char separator);

//! Decodes percent escapes such as "%41"; nullopt when one is malformed.
std::optional<std::string> percent_decoded(std::string_view text);

//! Escapes all characters except letters, digits and "-._~".
std::string percent_encoded(std::string_view text);

//! Decoded value of the first parameter with this name in a query such as
//! "a=1&b=x%20y"; "+" stands for a space. Returns nullopt when the parameter is
//! absent or malformed.
std::optional<std::string> query_parameter(std::string_view query,
                                           std::string_view name);

std::string concat(std::initializer_list<std::string_view> parts);

//! Parses the entire text as an unsigned decimal integer, ignoring surrounding
//! whitespace; nullopt for anything else.
std::optional<std::uint64_t> parse_number(std::string_view text);
//! Same as parse_number for hexadecimal digits without a prefix.
std::optional<std::uint64_t> parse_hex(std::string_view text);

//! Parses the entire text as a finite floating-point number; nullopt for
//! anything else.
std::optional<double> parse_decimal(std::string_view text);

} // namespace buckthornvale::http

#endif
