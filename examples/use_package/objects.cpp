#include <buckthornvale/objects/objects/http_object_api.hpp>

int main()
{
    // Port 0 is not a valid address, so no connection is made.
    buckthornvale::objects::http_object_api api("127.0.0.1:0");
    return api.get("settings/ranks").is_done() ? 1 : 0;
}
