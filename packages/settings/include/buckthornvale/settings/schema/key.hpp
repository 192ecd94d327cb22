#ifndef BUCKTHORNVALE_SETTINGS_SCHEMA_KEY_HPP
#define BUCKTHORNVALE_SETTINGS_SCHEMA_KEY_HPP

#include <buckthornvale/decision/core/rank.hpp>
#include <buckthornvale/decision/core/settings_model.hpp>
#include <buckthornvale/decision/core/time.hpp>

#include <absl/types/span.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace buckthornvale::settings
{

//! Unit of a key's value; durations are written as numbers of this unit.
enum class unit
{
    none,
    milliseconds,
    seconds,
    bytes,
    requests,
    requests_per_second,
    loads_per_second,
    attempts,
    fraction
};

std::string_view name_of(unit value);

//! Form that a text must have.
enum class text_format
{
    any,
    name,       //!< 1 to 128 of letters, digits, '.', '_' and '-'
    ip_address, //!< IPv4 or IPv6 in numbers
    ip_port,    //!< `127.0.0.1:8080` or `[::1]:8080`
    sha256,     //!< 64 hexadecimal digits
    log_level,  //!< info, warning, error, off
    runner_kind //!< engine, service
};

//! The form in words, for messages and the reference page.
std::string_view description_of(text_format format);

bool matches_format(std::string_view text, text_format format);

//! Allowed numbers, both ends included.
struct number_range
{
    double minimum = 0.;
    double maximum = 0.;
};

//! Where the value of a key is kept in the typed object.
template <class Object>
using field_pointer =
    std::variant<bool Object::*, double Object::*, std::uint16_t Object::*,
                 std::uint32_t Object::*, decision::duration Object::*,
                 std::string Object::*, decision::runner_kind Object::*,
                 std::vector<std::string> Object::*,
                 std::vector<decision::duration> Object::*>;

//! One row of the table that validates and documents an object. The default
//! is that of the typed object, so that the two cannot disagree.
template <class Object>
struct key_definition
{
    std::string_view name;
    field_pointer<Object> field;
    bool required = false;
    unit value_unit = unit::none;
    number_range range;                    //!< numbers: allowed ones
    text_format format = text_format::any; //!< texts: form of each
    std::string_view description;
};

template <class Object>
using key_table = absl::Span<key_definition<Object> const>;

} // namespace buckthornvale::settings

#endif
