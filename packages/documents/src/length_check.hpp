#ifndef BUCKTHORNVALE_DOCUMENTS_SRC_LENGTH_CHECK_HPP
#define BUCKTHORNVALE_DOCUMENTS_SRC_LENGTH_CHECK_HPP

#include <string_view>

namespace buckthornvale::documents::detail
{

//! False for an item of indefinite length (RFC 8949, 3.2) or one that reaches
//! past the end. nlohmann-json calls itself for each nested string of
//! indefinite length without telling its visitor, so that bounds_visitor cannot
//! bound them; its encoder writes definite lengths only.
bool has_definite_lengths(std::string_view cbor);

} // namespace buckthornvale::documents::detail

#endif
