#include <buckthornvale/settings/fleet/object.hpp>

int main()
{
    using buckthornvale::settings::parse_object;
    return parse_object("settings/fleet", "").object ? 0 : 1;
}
