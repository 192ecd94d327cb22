#ifndef BUCKTHORNVALE_SETTINGS_SCHEMA_PROBLEM_HPP
#define BUCKTHORNVALE_SETTINGS_SCHEMA_PROBLEM_HPP

#include <absl/types/span.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornvale::settings
{

//! Reason for which a settings object or file is rejected.
enum class problem_kind
{
    malformed_toml,
    unknown_path,
    unknown_key,
    missing_key,
    wrong_type,
    out_of_range,
    duplicate_name,
    unknown_reference,
    cycle,
    hash_collision,
    share_sum,
    inconsistent,
    still_referenced,
    missing_object
};

//! Fixed properties of a problem kind.
struct problem_traits
{
    problem_kind kind;
    std::string_view name;   //!< stable name in JSON output
    std::string_view remedy; //!< default if a problem sets none
};

//! Returns the properties of a kind. Every kind has an entry.
problem_traits const& traits_of(problem_kind kind);

//! Returns the properties of all kinds, for documentation and tests.
absl::Span<problem_traits const> all_problem_traits();

//! One error in one settings object or file.
struct problem
{
    problem_kind kind = problem_kind::malformed_toml;
    std::string path;       //!< object path or file name
    std::uint32_t line = 0; //!< 1-based; 0 if no line applies
    std::string key;        //!< dotted key such as `stages[2].pool`
    std::string message;    //!< describes the error
    std::string remedy;     //!< tells how to correct it
    std::string blocked_by; //!< object whose change may resolve it, or empty
};

using problem_list = std::vector<problem>;

//! Formats a problem in one line: `path:line: key: message; remedy`.
std::string to_text(problem const& value);

} // namespace buckthornvale::settings

#endif
