#ifndef BUCKTHORNVALE_PEER_CODEC_CODEC_HPP
#define BUCKTHORNVALE_PEER_CODEC_CODEC_HPP

#include <buckthornvale/peer/codec/message.hpp>

#include <absl/status/statusor.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace buckthornvale::peer
{

//! Largest message in bytes. A push of settings holds at least one value of up
//! to 1 MB; other messages are far smaller.
constexpr std::size_t max_message_bytes = 2'097'152;

//! Most objects in one push of settings.
constexpr std::size_t max_push_objects = 8192;

//! Longest path of a settings object in bytes.
constexpr std::size_t max_path_bytes = 1024;

//! CBOR form `{"t": type, "v": 1, ...}`.
std::string encode(message const& value);

//! Parses and validates a message from the network. Errors:
//! - invalid_argument: damaged, or a field is missing or out of its range
//! - resource_exhausted: larger than a bound
//! - unimplemented: unknown type or version, to be counted and dropped
absl::StatusOr<message> decode(std::string_view bytes);

} // namespace buckthornvale::peer

#endif
