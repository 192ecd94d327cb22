#ifndef BUCKTHORNVALE_CTL_STORE_SETTINGS_FILES_HPP
#define BUCKTHORNVALE_CTL_STORE_SETTINGS_FILES_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornvale::ctl
{

//! One settings file.
struct settings_file
{
    std::string file; //!< name, for messages
    std::string path; //!< object path; empty: not below a `settings` folder
    std::string text; //!< without the version line
    std::uint64_t base_version = 0;  //!< version in the first line; 0: none
    std::uint32_t skipped_lines = 0; //!< 1 when there is a version line
};

//! Files of a folder, or a single one, sorted by path; nothing when they
//! cannot be read. Only `.toml` files of a folder count.
std::optional<std::vector<settings_file>>
read_settings(std::string const& from);

//! The first line that `get` prints.
std::string version_line(std::uint64_t version);

//! Object path of a file; empty when it is not below a `settings` folder.
std::string object_path_of(std::string const& file);

} // namespace buckthornvale::ctl

#endif
