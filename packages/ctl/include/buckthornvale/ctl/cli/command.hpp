#ifndef BUCKTHORNVALE_CTL_CLI_COMMAND_HPP
#define BUCKTHORNVALE_CTL_CLI_COMMAND_HPP

#include <buckthornvale/ctl/cli/context.hpp>
#include <buckthornvale/ctl/cli/exit_code.hpp>

#include <absl/types/span.h>

#include <string>
#include <string_view>

namespace buckthornvale::ctl
{

using arguments = absl::Span<std::string const>;

//! A subcommand.
struct command
{
    std::string_view name;    //!< one or two words
    std::string_view usage;   //!< arguments, for the usage line
    std::string_view summary; //!< one line
    std::string_view help;    //!< flags and details
    std::size_t min_arguments;
    std::size_t max_arguments;
    exit_code (*run)(context&, arguments);
};

absl::Span<command const> all_commands();

//! Runs the subcommand named by the first words with the remaining words as
//! its arguments. If `wants_help` is set, prints its help instead.
exit_code run_command(context& ctx, arguments words, bool wants_help);

} // namespace buckthornvale::ctl

#endif
