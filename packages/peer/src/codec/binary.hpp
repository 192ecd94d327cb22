#ifndef BUCKTHORNVALE_PEER_SRC_CODEC_BINARY_HPP
#define BUCKTHORNVALE_PEER_SRC_CODEC_BINARY_HPP

#include <nlohmann/json.hpp>

#include <string>

namespace buckthornvale::peer::detail
{

//! CBOR byte string with the bytes of `bytes`.
nlohmann::json binary_of(std::string const& bytes);

} // namespace buckthornvale::peer::detail

#endif
