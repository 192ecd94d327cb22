#ifndef BUCKTHORNVALE_DECISION_GATEWAY_CRASH_REGISTRY_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_CRASH_REGISTRY_HPP

#include <buckthornvale/decision/core/time.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>

namespace buckthornvale::decision::gateway
{

//! Counts crashes by request content: how often a runner that executed such a
//! request reset its connection. Content with repeated crashes is blocked; a
//! completed execution clears its count.
class crash_registry
{
public:
    //! Number of crashes after which the content is blocked.
    static constexpr std::uint32_t crash_limit = 3;

    static constexpr duration entry_lifetime = std::chrono::minutes(2);

    static constexpr std::size_t max_entries = 4096;

    void record_crash(std::uint64_t fingerprint, time_point now);

    //! Forgets the crashes of the content. Returns false if none were recorded.
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
