#ifndef BUCKTHORNVALE_PEER_SRC_CODEC_SETTINGS_FIELDS_HPP
#define BUCKTHORNVALE_PEER_SRC_CODEC_SETTINGS_FIELDS_HPP

#include "reader.hpp"
#include <buckthornvale/peer/codec/message.hpp>

#include <nlohmann/json.hpp>

namespace buckthornvale::peer::detail
{

//! CBOR fields of an announcement of a revision, and how they are read and
//! validated.
nlohmann::json fields_of(decision::config::revision_announcement const& value);
void read(field_reader& in, decision::config::revision_announcement& value);

//! CBOR fields of a request for settings, and how they are read and validated.
nlohmann::json fields_of(decision::config::settings_pull const& value);
void read(field_reader& in, decision::config::settings_pull& value);

//! CBOR fields of a push of settings, and how they are read and validated.
nlohmann::json fields_of(decision::config::settings_push const& value);
void read(field_reader& in, decision::config::settings_push& value);

} // namespace buckthornvale::peer::detail

#endif
