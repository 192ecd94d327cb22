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

//! Unit of a key's value. A duration is written as a number in this unit.
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

//! Format that a string value must have.
enum class text_format
{
    any,
    name,       //!< 1 to 128 letters, digits, '.', '_' and '-', no leading '.'
    ip_address, //!< numeric IPv4 or IPv6 address
    ip_port,    //!< `127.0.0.1:8080` or `[::1]:8080`
    sha256,     //!< 64 hexadecimal digits
    log_level,  //!< info, warning, error, off
    runner_kind //!< engine, service
};

//! Describes the format, for messages and the reference page.
std::string_view description_of(text_format format);

bool matches_format(std::string_view text, text_format format);

//! Closed range of the allowed numbers.
struct number_range
{
    double minimum = 0.;
    double maximum = 0.;
};

//! Pointer to the member of the typed object that holds a key's value.
template <class Object>
using field_pointer =
    std::variant<bool Object::*, double Object::*, std::uint16_t Object::*,
                 std::uint32_t Object::*, decision::duration Object::*,
                 std::string Object::*, decision::runner_kind Object::*,
                 std::vector<std::string> Object::*,
                 std::vector<decision::duration> Object::*>;

//! One row of the table that validates and documents an object. The default
//! value is that of the default-constructed object, so that documentation and
//! code cannot disagree.
template <class Object>
struct key_definition
{
    std::string_view name;
    field_pointer<Object> field;
    bool required = false;
    unit value_unit = unit::none;
    number_range range;                    //!< for numbers
    text_format format = text_format::any; //!< for strings, also in arrays
    std::string_view description;
};

template <class Object>
using key_table = absl::Span<key_definition<Object> const>;

} // namespace buckthornvale::settings

#endif
