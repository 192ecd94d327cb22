#ifndef BUCKTHORNVALE_CTL_CLI_JSON_TEXT_HPP
#define BUCKTHORNVALE_CTL_CLI_JSON_TEXT_HPP

#include <nlohmann/json.hpp>

#include <string>

namespace buckthornvale::ctl
{

//! Formats indented JSON with a trailing newline. Replaces invalid UTF-8, as in
//! a damaged settings file; the library throws on it by default.
inline std::string json_text(nlohmann::json const& value)
{
    constexpr int indent = 2;
    return value.dump(indent, ' ', false,
                      nlohmann::json::error_handler_t::replace) +
           "\n";
}

} // namespace buckthornvale::ctl

#endif
