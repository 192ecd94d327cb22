#include <buckthornvale/peer/codec/codec.hpp>

#include <targets/input.hpp>
#include <targets/targets.hpp>

namespace buckthornvale::fuzz
{

bool peer_message(std::string_view bytes)
{
    auto const first = peer::decode(bytes);
    if (!first.ok())
        return false;
    auto const encoded = peer::encode(*first);
    auto const second = peer::decode(encoded);
    require(second.ok(), "an accepted message can be sent on");
    require(second->index() == first->index(), "sending on keeps the type");
    require(peer::encode(*second) == encoded, "sending on changes nothing");
    return true;
}

} // namespace buckthornvale::fuzz
