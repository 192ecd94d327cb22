#ifndef BUCKTHORNVALE_CTL_CLI_JSON_TEXT_HPP
#define BUCKTHORNVALE_CTL_CLI_JSON_TEXT_HPP

#include <nlohmann/json.hpp>

#include <string>

namespace buckthornvale::ctl
{

//! Indented JSON with a line end. Bytes that are not UTF-8, as in a damaged
//! settings file, are replaced; without that the library would throw.
inline std::string json_text(nlohmann::json const& value)
{
    constexpr int indent = 2;
    return value.dump(indent, ' ', false,
                      nlohmann::json::error_handler_t::replace) +
           "\n";
}

} // namespace buckthornvale::ctl

#endif
