#include <buckthornvale/decision/isolation/fingerprint.hpp>

#include <xxhash.h>

namespace buckthornvale::decision::isolation
{

fingerprint fingerprint_of(pipeline_id pipeline, organisation_id organisation,
                           std::string_view input)
{
    // The seed depends on the order of the two ids.
    std::uint64_t const ids[] = {pipeline.value, organisation.value};
    auto const seed = XXH3_64bits(ids, sizeof ids);
    auto const hash = XXH3_128bits_withSeed(input.data(), input.size(), seed);
    return {hash.high64, hash.low64};
}

} // namespace buckthornvale::decision::isolation
