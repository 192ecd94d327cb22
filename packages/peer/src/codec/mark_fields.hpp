#ifndef BUCKTHORNVALE_PEER_SRC_CODEC_MARK_FIELDS_HPP
#define BUCKTHORNVALE_PEER_SRC_CODEC_MARK_FIELDS_HPP

#include "reader.hpp"
#include <buckthornvale/peer/codec/message.hpp>

#include <nlohmann/json.hpp>

namespace buckthornvale::peer::detail
{

//! CBOR fields of an isolation mark, and how they are read and validated.
nlohmann::json fields_of(decision::isolation::isolation_mark const& value);
void read(field_reader& in, decision::isolation::isolation_mark& value);

} // namespace buckthornvale::peer::detail

#endif
