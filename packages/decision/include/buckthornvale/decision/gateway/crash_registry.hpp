#ifndef BUCKTHORNVALE_DECISION_GATEWAY_CRASH_REGISTRY_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_CRASH_REGISTRY_HPP

#include <buckthornvale/decision/core/time.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace buckthornvale::decision::gateway
{

//! Repeated crashes of one content, as one VM tells another.
struct crash_record
{
    std::uint64_t fingerprint = 0;
    std::uint32_t crashes = 0;
    duration last_crash_age{};
};

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

    //! Number of crashes from which other VMs are told of the content again,
    //! and the most records in one message. Single crashes are frequent, and
    //! seldom the fault of the request.
    static constexpr std::uint32_t min_shared_crashes = 2;
    static constexpr std::size_t max_shared_records = 256;

    void record_crash(std::uint64_t fingerprint, time_point now);

    //! Forgets the crashes of the content. Returns false if none were recorded.
    bool clear(std::uint64_t fingerprint, time_point now);

    //! Content with repeated crashes.
    std::vector<crash_record> repeated_crashes(time_point now) const;

    //! Takes over what another VM knows. Returns false if the content was
    //! cleared here after its last crash there.
    bool merge(crash_record const& record, time_point now);

    bool is_blocked(std::uint64_t fingerprint, time_point now) const;

    void expire(time_point now);

private:
    struct entry
    {
        std::uint32_t crashes = 0;
        time_point last_crash{};
        time_point cleared_at{};

        bool expired(time_point now) const
        {
            return now - last_crash > entry_lifetime;
        }
    };

    entry& find_or_add(std::uint64_t fingerprint, time_point now);

    absl::flat_hash_map<std::uint64_t, entry> entries_;
};

} // namespace buckthornvale::decision::gateway

#endif
