#ifndef BUCKTHORNVALE_DECISION_BOOKINGS_SHARD_DOCUMENT_HPP
#define BUCKTHORNVALE_DECISION_BOOKINGS_SHARD_DOCUMENT_HPP

#include <buckthornvale/decision/bookings/shard_update.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace buckthornvale::decision::bookings
{

//! The claims of one shard object, with their JSON encoding.
class shard_document
{
public:
    //! Parses an object's value. Any corruption is an error: a claim dropped
    //! while parsing would run a second time.
    static absl::StatusOr<shard_document> decode(std::string_view value);

    //! JSON text: `{"v":1,"claims":{"<id>":[...]}}`.
    std::string encode() const;

    //! Effect of an update on the document.
    struct change
    {
        update_verdict verdict = update_verdict::applied;
        bool modified = false;
        error_kind reason = error_kind::none;
    };

    //! Applies an update. New claims are refused above `max_claim_bytes`;
    //! results above `max_value_bytes` are replaced by their digest.
    change apply(shard_update const& update, std::size_t max_claim_bytes,
                 std::size_t max_value_bytes);

    claim_entry const* find(claim_id id) const;
    std::size_t size() const { return claims_.size(); }
    //! Estimated upper bound of the encoded size.
    std::size_t bytes() const { return bytes_; }

private:
    change insert(shard_update const& update, std::size_t max_claim_bytes);
    change complete(claim_entry& entry, shard_update const& update,
                    std::size_t max_value_bytes);

    absl::flat_hash_map<claim_id, claim_entry> claims_;
    std::size_t bytes_ = 0;
};

} // namespace buckthornvale::decision::bookings

#endif
