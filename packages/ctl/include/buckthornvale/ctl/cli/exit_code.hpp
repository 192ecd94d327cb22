#ifndef BUCKTHORNVALE_CTL_CLI_EXIT_CODE_HPP
#define BUCKTHORNVALE_CTL_CLI_EXIT_CODE_HPP

#include <buckthornvale/objects/objects/object_api.hpp>

#include <absl/types/span.h>

#include <string_view>

namespace buckthornvale::ctl
{

//! Exit codes of buckthornvalectl; all_exit_codes() describes each of them.
enum class exit_code
{
    success = 0,
    differs = 1,
    usage = 2,
    invalid = 3,
    conflict = 4,
    unavailable = 5,
    unknown = 6,
    timed_out = 7,
    not_found = 8,
    internal = 9
};

//! Description of an exit code, for --help and the operator documentation.
struct exit_code_meaning
{
    exit_code code;
    std::string_view text;
};

absl::Span<exit_code_meaning const> all_exit_codes();

//! Maps the status of an object API call to an exit code.
exit_code exit_code_for(objects::call_status status);

} // namespace buckthornvale::ctl

#endif
