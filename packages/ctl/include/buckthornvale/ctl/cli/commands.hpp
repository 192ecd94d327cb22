#ifndef BUCKTHORNVALE_CTL_CLI_COMMANDS_HPP
#define BUCKTHORNVALE_CTL_CLI_COMMANDS_HPP

#include <buckthornvale/ctl/cli/command.hpp>

namespace buckthornvale::ctl
{

// Entry points of the subcommands; cli/command.cpp lists them with their help.

exit_code run_validate(context& ctx, arguments words);
exit_code run_apply(context& ctx, arguments words);
exit_code run_get(context& ctx, arguments words);
exit_code run_diff(context& ctx, arguments words);
exit_code run_history(context& ctx, arguments words);
exit_code run_reference(context& ctx, arguments words);
exit_code run_wait(context& ctx, arguments words);
exit_code run_status(context& ctx, arguments words);
exit_code run_drain(context& ctx, arguments words);
exit_code run_report_burn(context& ctx, arguments words);

} // namespace buckthornvale::ctl

#endif
