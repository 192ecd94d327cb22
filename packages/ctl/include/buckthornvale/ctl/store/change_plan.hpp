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

//! One object that differs between files and store.
struct planned_change
{
    std::string path;
    std::string file; //!< empty for a removal
    std::uint64_t expected_version =
        0;                  //!< version that the write is conditional on
    objects::object stored; //!< version 0: none is stored
    std::string new_text;
    bool is_removal = false;
};

//! What has to change in the store, referenced objects first.
struct change_plan
{
    exit_code status = exit_code::success;
    std::vector<planned_change> changes;
    std::size_t unchanged = 0;
    settings::problem_list problems; //!< of the files, with file and line
};

//! Reads files and store and checks the outcome as a whole. Prints why when
//! the status is not success.
change_plan make_plan(context& ctx, std::string const& from);

//! The change as a unified diff.
std::string diff_of(planned_change const& change);

//! Prints problems as text or JSON.
void print_problems(context& ctx, settings::problem_list const& problems);

} // namespace buckthornvale::ctl

#endif
