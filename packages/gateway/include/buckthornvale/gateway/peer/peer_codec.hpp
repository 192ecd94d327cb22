#ifndef BUCKTHORNVALE_GATEWAY_PEER_PEER_CODEC_HPP
#define BUCKTHORNVALE_GATEWAY_PEER_PEER_CODEC_HPP

#include <buckthornvale/decision/gateway/stage_message.hpp>

#include <absl/types/span.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornvale::gateway::peer
{

using decision::gateway::peer_message;

//! Messages of one VM to another, sent as one CBOR document.
struct envelope
{
    std::string member;            //!< that sends
    std::uint64_t incarnation = 0; //!< of its process
    std::vector<peer_message> messages;
};

std::string encode_envelope(envelope const& value);

//! Empty for bytes that are no envelope of this version.
std::optional<envelope> decode_envelope(std::string_view bytes);

} // namespace buckthornvale::gateway::peer

#endif
