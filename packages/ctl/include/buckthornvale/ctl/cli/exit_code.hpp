#ifndef BUCKTHORNVALE_CTL_CLI_EXIT_CODE_HPP
#define BUCKTHORNVALE_CTL_CLI_EXIT_CODE_HPP

#include <buckthornvale/objects/objects/object_api.hpp>

#include <absl/types/span.h>

#include <string_view>

namespace buckthornvale::ctl
{

//! Exit codes of the command; each has an entry in the table of meanings.
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

//! Meaning of an exit code, for --help and the operators' pages.
struct exit_code_meaning
{
    exit_code code;
    std::string_view text;
};

absl::Span<exit_code_meaning const> all_exit_codes();

//! Exit code for a call of the object API that was not done.
exit_code exit_code_for(objects::call_status status);

} // namespace buckthornvale::ctl

#endif
