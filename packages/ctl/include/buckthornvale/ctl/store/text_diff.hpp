#ifndef BUCKTHORNVALE_CTL_STORE_TEXT_DIFF_HPP
#define BUCKTHORNVALE_CTL_STORE_TEXT_DIFF_HPP

#include <string>
#include <string_view>

namespace buckthornvale::ctl
{

//! Unified diff with three lines of context; empty if the texts are equal.
std::string unified_diff(std::string_view before, std::string_view after,
                         std::string_view before_name,
                         std::string_view after_name);

} // namespace buckthornvale::ctl

#endif
