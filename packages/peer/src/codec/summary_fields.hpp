#ifndef BUCKTHORNVALE_PEER_SRC_CODEC_SUMMARY_FIELDS_HPP
#define BUCKTHORNVALE_PEER_SRC_CODEC_SUMMARY_FIELDS_HPP

#include "reader.hpp"
#include <buckthornvale/peer/codec/message.hpp>

#include <nlohmann/json.hpp>

namespace buckthornvale::peer::detail
{

//! CBOR fields of a load summary, and how they are read and validated.
nlohmann::json fields_of(decision::fleet::summary_message const& value);
void read(field_reader& in, decision::fleet::summary_message& value);

} // namespace buckthornvale::peer::detail

#endif
