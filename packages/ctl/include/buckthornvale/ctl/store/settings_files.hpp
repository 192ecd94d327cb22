#ifndef BUCKTHORNVALE_CTL_STORE_SETTINGS_FILES_HPP
#define BUCKTHORNVALE_CTL_STORE_SETTINGS_FILES_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornvale::ctl
{

//! A settings file.
struct settings_file
{
    std::string file; //!< file name, for messages
    std::string path; //!< object path; empty if not below a `settings` folder
    std::string text; //!< without the version line
    std::uint64_t base_version = 0;  //!< from the version line; 0 if none
    std::uint32_t skipped_lines = 0; //!< 1 if there is a version line, else 0
};

//! Reads a single file, or all `.toml` files below a folder, sorted by path.
//! Nullopt if a file or the folder cannot be read.
std::optional<std::vector<settings_file>>
read_settings(std::string const& from);

//! Version line, which `get` prints first.
std::string version_line(std::uint64_t version);

//! Object path of a file; empty if it is not below a `settings` folder.
std::string object_path_of(std::string const& file);

} // namespace buckthornvale::ctl

#endif
