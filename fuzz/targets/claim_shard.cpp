#include <buckthornvale/decision/bookings/shard_document.hpp>

#include <targets/input.hpp>
#include <targets/targets.hpp>

namespace buckthornvale::fuzz
{

bool claim_shard(std::string_view bytes)
{
    using decision::bookings::shard_document;
    auto const decoded = shard_document::decode(bytes);
    if (!decoded.ok())
        return false;
    auto const encoded = decoded->encode();
    auto const redecoded = shard_document::decode(encoded);
    require(redecoded.ok(),
            "an accepted shard can be decoded again after encoding");
    require(redecoded->size() == decoded->size(), "encoding keeps all claims");
    require(redecoded->bytes() == decoded->bytes(),
            "encoding keeps the size in bytes");
    return true;
}

} // namespace buckthornvale::fuzz
