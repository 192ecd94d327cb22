#ifndef BUCKTHORNVALE_PEER_SRC_CODEC_LINK_FIELDS_HPP
#define BUCKTHORNVALE_PEER_SRC_CODEC_LINK_FIELDS_HPP

#include "reader.hpp"
#include <buckthornvale/peer/codec/message.hpp>

#include <nlohmann/json.hpp>

namespace buckthornvale::peer::detail
{

//! CBOR fields of a greeting, and how they are read and validated.
nlohmann::json fields_of(hello const& value);
void read(field_reader& in, hello& value);

//! CBOR fields of a probe, and how they are read and validated.
nlohmann::json fields_of(ping const& value);
void read(field_reader& in, ping& value);

//! CBOR fields of a probe's answer, and how they are read and validated.
nlohmann::json fields_of(ack const& value);
void read(field_reader& in, ack& value);

//! CBOR fields of a planned end, and how they are read and validated.
nlohmann::json fields_of(goodbye const& value);
void read(field_reader& in, goodbye& value);

} // namespace buckthornvale::peer::detail

#endif
