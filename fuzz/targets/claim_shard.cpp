#include <buckthornvale/decision/bookings/shard_document.hpp>

#include <targets/input.hpp>
#include <targets/targets.hpp>

namespace buckthornvale::fuzz
{

bool claim_shard(std::string_view bytes)
{
    using decision::bookings::shard_document;
    auto const first = shard_document::decode(bytes);
    if (!first.ok())
        return false;
    auto const encoded = first->encode();
    auto const second = shard_document::decode(encoded);
    require(second.ok(), "an accepted shard can be written back");
    require(second->size() == first->size(), "writing back keeps all claims");
    require(second->bytes() == first->bytes(), "writing back keeps the size");
    return true;
}

} // namespace buckthornvale::fuzz
