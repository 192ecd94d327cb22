#ifndef BUCKTHORNVALE_CTL_STORE_CHANGE_PLAN_HPP
#define BUCKTHORNVALE_CTL_STORE_CHANGE_PLAN_HPP

#include <buckthornvale/ctl/cli/context.hpp>
#include <buckthornvale/ctl/cli/exit_code.hpp>
#include <buckthornvale/settings/schema/problem.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace buckthornvale::ctl
{

//! A settings object that differs between the files and the store.
struct planned_change
{
    std::string path;
    std::string file;                   //!< empty for a removal
    std::uint64_t expected_version = 0; //!< precondition of the write
    objects::object stored;             //!< version 0 if none is stored
    std::string new_text;
    bool is_removal = false;
};

//! Changes that bring the store in line with the files. Writes come first,
//! referenced objects before referring ones, then removals in reverse order.
struct change_plan
{
    exit_code status = exit_code::success;
    std::vector<planned_change> changes;
    std::size_t unchanged = 0;
    settings::problem_list problems; //!< caused by the changes
};

//! Compares the files with the store and validates the resulting settings as a
//! whole. Prints an error if the files or the store cannot be read; problems of
//! the settings are only returned.
change_plan make_plan(context& ctx, std::string const& from);

//! Formats the change as a unified diff.
std::string diff_of(planned_change const& change);

//! Prints problems as text or, if requested by the flags, as JSON.
void print_problems(context& ctx, settings::problem_list const& problems);

} // namespace buckthornvale::ctl

#endif
