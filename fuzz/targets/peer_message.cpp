#include <buckthornvale/peer/codec/codec.hpp>

#include <targets/input.hpp>
#include <targets/targets.hpp>

namespace buckthornvale::fuzz
{

bool peer_message(std::string_view bytes)
{
    auto const decoded = peer::decode(bytes);
    if (!decoded.ok())
        return false;
    auto const encoded = peer::encode(*decoded);
    auto const redecoded = peer::decode(encoded);
    require(redecoded.ok(),
            "an accepted message can be decoded again after encoding");
    require(redecoded->index() == decoded->index(),
            "encoding keeps the message type");
    require(peer::encode(*redecoded) == encoded, "encoding is stable");
    return true;
}

} // namespace buckthornvale::fuzz
