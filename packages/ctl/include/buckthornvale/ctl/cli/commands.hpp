#ifndef BUCKTHORNVALE_CTL_CLI_COMMANDS_HPP
#define BUCKTHORNVALE_CTL_CLI_COMMANDS_HPP

#include <buckthornvale/ctl/cli/command.hpp>

namespace buckthornvale::ctl
{

// The sub-commands; cli/command.cpp lists them with their help.

exit_code run_validate(context& with, arguments words);
exit_code run_apply(context& with, arguments words);
exit_code run_get(context& with, arguments words);
exit_code run_diff(context& with, arguments words);
exit_code run_history(context& with, arguments words);
exit_code run_reference(context& with, arguments words);
exit_code run_wait(context& with, arguments words);
exit_code run_status(context& with, arguments words);
exit_code run_drain(context& with, arguments words);
exit_code run_report_burn(context& with, arguments words);

} // namespace buckthornvale::ctl

#endif
