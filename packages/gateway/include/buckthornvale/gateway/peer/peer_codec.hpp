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

//! A batch of messages between two VMs, encoded as one CBOR document.
struct envelope
{
    std::string member;            //!< sender
    std::uint64_t incarnation = 0; //!< of the sender's process
    std::vector<peer_message> messages;
};

std::string encode_envelope(envelope const& value);

//! Returns nothing if the bytes are malformed or of another protocol version.
std::optional<envelope> decode_envelope(std::string_view bytes);

} // namespace buckthornvale::gateway::peer

#endif
