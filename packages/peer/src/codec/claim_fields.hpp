#ifndef BUCKTHORNVALE_PEER_SRC_CODEC_CLAIM_FIELDS_HPP
#define BUCKTHORNVALE_PEER_SRC_CODEC_CLAIM_FIELDS_HPP

#include "reader.hpp"
#include <buckthornvale/peer/codec/message.hpp>

#include <nlohmann/json.hpp>

namespace buckthornvale::peer::detail
{

//! CBOR fields of an update of a claim, and how they are read and validated.
nlohmann::json fields_of(decision::bookings::shard_update const& value);
void read(field_reader& in, decision::bookings::shard_update& value);

//! CBOR fields of the answer to an update of a claim, and how they are read and
//! validated.
nlohmann::json fields_of(decision::bookings::update_answer const& value);
void read(field_reader& in, decision::bookings::update_answer& value);

} // namespace buckthornvale::peer::detail

#endif
