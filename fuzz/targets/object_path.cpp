#include <buckthornvale/settings/fleet/object_path.hpp>

#include <targets/input.hpp>
#include <targets/targets.hpp>

namespace buckthornvale::fuzz
{

bool object_path(std::string_view bytes)
{
    auto const path = settings::parse_object_path(bytes);
    if (!path)
        return false;
    require(settings::to_text(*path) == bytes,
            "an accepted path is in canonical form");
    return true;
}

} // namespace buckthornvale::fuzz
