#include <buckthornvale/settings/process/process_settings.hpp>

#include <targets/input.hpp>
#include <targets/targets.hpp>

namespace buckthornvale::fuzz
{

bool process_settings(std::string_view bytes)
{
    auto const parsed = settings::parse_process("daemon.toml", bytes);
    require(parsed.settings.has_value() == parsed.problems.empty(),
            "a file is either accepted or refused with a reason");
    return parsed.settings.has_value();
}

} // namespace buckthornvale::fuzz
