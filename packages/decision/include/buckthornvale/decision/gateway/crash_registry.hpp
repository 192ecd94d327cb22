#ifndef BUCKTHORNVALE_DECISION_GATEWAY_CRASH_REGISTRY_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_CRASH_REGISTRY_HPP

#include <buckthornvale/decision/core/time.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>

namespace buckthornvale::decision::gateway
{

//! Counts how often requests of one content broke off the runner that ran
//! them. Content that does so again and again is refused; content that runs to
//! its end is cleared.
class crash_registry
{
public:
    //! Crashes after which the content is refused.
    static constexpr std::uint32_t crash_limit = 3;

    static constexpr duration lifetime = std::chrono::minutes(2);

    static constexpr std::size_t max_entries = 4096;

    void crashed(std::uint64_t fingerprint, time_point now);

    //! True when the content had crashes to its account.
    bool cleared(std::uint64_t fingerprint);

    bool refused(std::uint64_t fingerprint, time_point now) const;

    void expire(time_point now);

private:
    struct entry
    {
        std::uint32_t crashes = 0;
        time_point last{};
    };
    absl::flat_hash_map<std::uint64_t, entry> entries_;
};

} // namespace buckthornvale::decision::gateway

#endif
