#ifndef BUCKTHORNVALE_DOCUMENTS_SRC_LENGTH_CHECK_HPP
#define BUCKTHORNVALE_DOCUMENTS_SRC_LENGTH_CHECK_HPP

#include <string_view>

namespace buckthornvale::documents::detail
{

//! Returns false for an item of indefinite length (RFC 8949, section 3.2) or
//! one that extends past the end. nlohmann-json recurses into nested strings of
//! indefinite length without notifying its visitor, so bounds_visitor cannot
//! bound them. Rejecting them is safe because the nlohmann-json encoder only
//! writes definite lengths.
bool has_definite_lengths(std::string_view cbor);

} // namespace buckthornvale::documents::detail

#endif
