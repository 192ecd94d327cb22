#ifndef BUCKTHORNVALE_DECISION_CORE_TEXT_HPP
#define BUCKTHORNVALE_DECISION_CORE_TEXT_HPP

#include <absl/strings/string_view.h>

#include <string_view>

namespace buckthornvale::decision
{

//! Converts to absl's string view, for absl's string functions. The packaged
//! absl is built as C++14, where absl::string_view is a separate type.
inline absl::string_view as_absl(std::string_view text)
{
    return {text.data(), text.size()};
}

//! Converts a string view that an absl function returned.
inline std::string_view as_std(absl::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace buckthornvale::decision

#endif
