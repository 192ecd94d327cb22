#include "bounds_visitor.hpp"
#include "length_check.hpp"
#include <buckthornvale/documents/cbor.hpp>

namespace buckthornvale::documents
{

parsed_cbor parse_cbor(std::string_view bytes, cbor_bounds bounds)
{
    using nlohmann::json;
    if (!detail::has_definite_lengths(bytes))
        return {cbor_error::malformed, nullptr};
    detail::bounds_visitor visitor(bounds);
    if (!json::sax_parse(bytes.begin(), bytes.end(), &visitor,
                         json::input_format_t::cbor))
        return {visitor.exceeded() ? cbor_error::too_large
                                   : cbor_error::malformed,
                nullptr};
    auto value = json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (value.is_discarded())
        return {cbor_error::malformed, nullptr};
    return {cbor_error::none, std::move(value)};
}

} // namespace buckthornvale::documents
