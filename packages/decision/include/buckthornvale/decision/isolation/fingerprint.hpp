#ifndef BUCKTHORNVALE_DECISION_ISOLATION_FINGERPRINT_HPP
#define BUCKTHORNVALE_DECISION_ISOLATION_FINGERPRINT_HPP

#include <buckthornvale/decision/core/ids.hpp>

#include <cstdint>
#include <string_view>
#include <utility>

namespace buckthornvale::decision::isolation
{

//! 128-bit xxHash3 of pipeline, organisation and input. The same content has
//! the same fingerprint on every VM, whatever its request id.
struct fingerprint
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend bool operator==(fingerprint a, fingerprint b)
    {
        return a.high == b.high && a.low == b.low;
    }
    friend bool operator!=(fingerprint a, fingerprint b) { return !(a == b); }

    template <class Hash>
    friend Hash AbslHashValue(Hash state, fingerprint value)
    {
        return Hash::combine(std::move(state), value.high, value.low);
    }
};

fingerprint fingerprint_of(pipeline_id pipeline, organisation_id organisation,
                           std::string_view input);

} // namespace buckthornvale::decision::isolation

#endif
