#ifndef BUCKTHORNVALE_SETTINGS_SCHEMA_PROBLEM_HPP
#define BUCKTHORNVALE_SETTINGS_SCHEMA_PROBLEM_HPP

#include <absl/types/span.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornvale::settings
{

//! Why a settings object is refused.
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
    std::string_view remedy; //!< used when a problem has no remedy of its own
};

//! Looks up the properties of a kind; every kind has an entry.
problem_traits const& traits_of(problem_kind kind);

//! The table of all kinds, for documentation and tests.
absl::Span<problem_traits const> all_problem_traits();

//! One reason why one object is refused.
struct problem
{
    problem_kind kind = problem_kind::malformed_toml;
    std::string path;       //!< object path or file name
    std::uint32_t line = 0; //!< from 1; 0 when no line applies
    std::string key;        //!< dotted key such as `stages[2].pool`
    std::string message;    //!< what is wrong
    std::string remedy;     //!< what to do
    std::string blocked_by; //!< object whose change may resolve it, or empty
};

using problem_list = std::vector<problem>;

//! One line: `path:line: key: message; remedy`.
std::string to_text(problem const& value);

} // namespace buckthornvale::settings

#endif
