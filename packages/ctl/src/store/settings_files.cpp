#include <buckthornvale/ctl/store/settings_files.hpp>
#include <buckthornvale/decision/core/text.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace buckthornvale::ctl
{

namespace
{

namespace fs = std::filesystem;

constexpr std::string_view version_prefix = "# version ";

// Removes a version line from the text and stores its version.
void strip_version_line(settings_file& file)
{
    auto const end = file.text.find('\n');
    std::string_view const line = std::string_view(file.text).substr(0, end);
    if (line.substr(0, version_prefix.size()) != version_prefix ||
        !absl::SimpleAtoi(decision::as_absl(line.substr(version_prefix.size())),
                          &file.base_version))
        return;
    file.skipped_lines = 1;
    file.text.erase(0, end == std::string::npos ? end : end + 1);
}

std::optional<settings_file> read_file(fs::path const& name)
{
    std::ifstream input(name, std::ios::binary);
    if (!input)
        return std::nullopt;
    std::ostringstream text;
    text << input.rdbuf();
    settings_file file;
    file.file = name.generic_string();
    file.path = object_path_of(file.file);
    file.text = text.str();
    strip_version_line(file);
    return file;
}

} // namespace

std::string version_line(std::uint64_t version)
{
    return absl::StrCat(decision::as_absl(version_prefix), version, "\n");
}

std::string object_path_of(std::string const& file)
{
    std::error_code ec;
    auto whole = fs::absolute(file, ec).lexically_normal();
    whole.replace_extension();
    std::string path;
    bool is_below = false;
    for (auto const& part : whole)
    {
        if (part == "settings")
        {
            path = "settings";
            is_below = true;
        }
        else if (is_below)
        {
            path += "/" + part.generic_string();
        }
    }
    return path == "settings" ? "" : path;
}

std::optional<std::vector<settings_file>> read_settings(std::string const& from)
{
    std::error_code ec;
    std::vector<fs::path> names;
    if (fs::is_directory(from, ec))
    {
        for (auto const& it : fs::recursive_directory_iterator(from, ec))
        {
            if (it.is_regular_file() && it.path().extension() == ".toml")
                names.push_back(it.path());
        }
    }
    else
    {
        names.emplace_back(from);
    }
    std::sort(names.begin(), names.end());
    std::vector<settings_file> files;
    for (auto const& it : names)
    {
        auto file = read_file(it);
        if (!file)
            return std::nullopt;
        files.push_back(std::move(*file));
    }
    if (ec)
        return std::nullopt;
    return files;
}

} // namespace buckthornvale::ctl
