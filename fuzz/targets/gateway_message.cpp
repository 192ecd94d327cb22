#include <buckthornvale/gateway/peer/peer_codec.hpp>

#include <targets/input.hpp>
#include <targets/targets.hpp>

namespace buckthornvale::fuzz
{

bool gateway_message(std::string_view bytes)
{
    namespace peer = gateway::peer;
    auto const value = peer::decode_envelope(bytes);
    if (!value)
        return false;
    auto const text = peer::encode_envelope(*value);
    auto const again = peer::decode_envelope(text);
    require(again && peer::encode_envelope(*again) == text,
            "an accepted message can be encoded again without a change");
    return true;
}

} // namespace buckthornvale::fuzz
