#ifndef BUCKTHORNVALE_DOCUMENTS_CBOR_HPP
#define BUCKTHORNVALE_DOCUMENTS_CBOR_HPP

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string_view>

namespace buckthornvale::documents
{

//! Bounds of a document that is parsed. The parser calls itself for each
//! level, so that unbounded nesting could exhaust the stack.
struct cbor_bounds
{
    std::size_t max_depth = 0;
    std::size_t max_values = 0;
};

enum class cbor_error
{
    none,
    malformed, //!< no CBOR, or an item of indefinite length
    too_large  //!< above the bounds
};

struct parsed_cbor
{
    cbor_error error = cbor_error::none;
    nlohmann::json value; //!< null after an error
};

parsed_cbor parse_cbor(std::string_view bytes, cbor_bounds bounds);

} // namespace buckthornvale::documents

#endif
