#ifndef BUCKTHORNVALE_DOCUMENTS_CBOR_HPP
#define BUCKTHORNVALE_DOCUMENTS_CBOR_HPP

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string_view>

namespace buckthornvale::documents
{

//! Limits on a parsed document. The parser recurses once per nesting level, so
//! unbounded nesting could exhaust the stack.
struct cbor_bounds
{
    std::size_t max_depth = 0;
    std::size_t max_values = 0;
};

enum class cbor_error
{
    none,
    malformed, //!< not CBOR, or an item of indefinite length
    too_large  //!< exceeds cbor_bounds
};

struct parsed_cbor
{
    cbor_error error = cbor_error::none;
    nlohmann::json value; //!< null on error
};

parsed_cbor parse_cbor(std::string_view bytes, cbor_bounds bounds);

} // namespace buckthornvale::documents

#endif
