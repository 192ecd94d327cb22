#include <buckthornvale/gateway/peer/peer_codec.hpp>

#include <targets/input.hpp>
#include <targets/targets.hpp>

namespace buckthornvale::fuzz
{

bool gateway_message(std::string_view bytes)
{
    namespace peer = gateway::peer;
    auto const decoded = peer::decode_envelope(bytes);
    if (!decoded)
        return false;
    auto const encoded = peer::encode_envelope(*decoded);
    auto const redecoded = peer::decode_envelope(encoded);
    require(redecoded && peer::encode_envelope(*redecoded) == encoded,
            "an accepted message is unchanged by encoding and decoding");
    return true;
}

} // namespace buckthornvale::fuzz
