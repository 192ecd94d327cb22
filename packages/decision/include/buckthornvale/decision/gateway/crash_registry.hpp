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

    static constexpr duration entry_lifetime = std::chrono::minutes(2);

    static constexpr std::size_t max_entries = 4096;

    void record_crash(std::uint64_t fingerprint, time_point now);

    //! True when the content had crashes to its account.
    bool clear(std::uint64_t fingerprint);

    bool is_blocked(std::uint64_t fingerprint, time_point now) const;

    void expire(time_point now);

private:
    struct entry
    {
        std::uint32_t crashes = 0;
        time_point last_crash{};
    };
    absl::flat_hash_map<std::uint64_t, entry> entries_;
};

} // namespace buckthornvale::decision::gateway

#endif
