#include <buckthornvale/ctl/cli/exit_code.hpp>

namespace buckthornvale::ctl
{

namespace
{

constexpr exit_code_meaning meanings[] = {
    {exit_code::success, "done"},
    {exit_code::differs, "diff: the files differ from the store"},
    {exit_code::usage, "the command line is wrong; see --help"},
    {exit_code::invalid, "settings are refused; each problem names a remedy"},
    {exit_code::conflict, "another change came first; nothing was overwritten"},
    {exit_code::unavailable,
     "the platform or the VMs could not be reached; the write that failed "
     "was not applied"},
    {exit_code::unknown,
     "a write may have been applied; `get` shows what is stored"},
    {exit_code::timed_out, "the time limit passed while waiting"},
    {exit_code::not_found, "no such object, VM or version"},
    {exit_code::internal, "an error that the command did not expect"},
};

} // namespace

absl::Span<exit_code_meaning const> all_exit_codes()
{
    return meanings;
}

exit_code exit_code_for(objects::call_status status)
{
    switch (status)
    {
    case objects::call_status::done:
        return exit_code::success;
    case objects::call_status::not_found:
        return exit_code::not_found;
    case objects::call_status::conflict:
        return exit_code::conflict;
    case objects::call_status::rejected:
        return exit_code::invalid;
    case objects::call_status::unknown:
        return exit_code::unknown;
    case objects::call_status::compacted:
    case objects::call_status::not_sent:
    case objects::call_status::unavailable:
        break;
    }
    return exit_code::unavailable;
}

} // namespace buckthornvale::ctl
