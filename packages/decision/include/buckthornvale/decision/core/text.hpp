#ifndef BUCKTHORNVALE_DECISION_CORE_TEXT_HPP
#define BUCKTHORNVALE_DECISION_CORE_TEXT_HPP

#include <absl/strings/string_view.h>

#include <string_view>

namespace buckthornvale::decision
{

//! View for absl's string functions: the packaged absl is built as C++14,
//! where absl::string_view is a type of its own.
inline absl::string_view as_absl(std::string_view text)
{
    return {text.data(), text.size()};
}

//! View of a text that came from an absl function.
inline std::string_view as_std(absl::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace buckthornvale::decision

#endif
