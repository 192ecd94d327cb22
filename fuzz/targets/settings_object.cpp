#include <buckthornvale/settings/fleet/object.hpp>
#include <buckthornvale/settings/fleet/settings_set.hpp>

#include <targets/input.hpp>
#include <targets/targets.hpp>

namespace buckthornvale::fuzz
{

bool settings_object(std::string_view bytes)
{
    auto text = bytes;
    auto const path = take_line(text);
    auto const parsed = settings::parse_object(path, text);
    require(parsed.object.has_value() == parsed.problems.empty(),
            "an object is either accepted or refused with a reason");
    for (auto const& it : parsed.problems)
        require(!settings::to_text(it).empty(),
                "each problem has a description");
    settings::settings_set set;
    auto const change = set.put(path, 1, text);
    if (!parsed.object)
        require(change.changed.empty(),
                "a refused object does not change the settings");
    return parsed.object.has_value();
}

} // namespace buckthornvale::fuzz
