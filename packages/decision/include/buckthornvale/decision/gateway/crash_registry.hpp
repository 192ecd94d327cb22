#ifndef BUCKTHORNVALE_DECISION_GATEWAY_CRASH_REGISTRY_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_CRASH_REGISTRY_HPP

#include <buckthornvale/decision/core/time.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include <cstddef>
#include <cstdint>
#include <utility>
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

//! Repeated crashes of one content, as the store keeps them.
struct stored_crashes
{
    std::uint64_t fingerprint = 0;
    std::uint32_t crashes = 0;

    friend bool operator==(stored_crashes const& a, stored_crashes const& b)
    {
        return a.fingerprint == b.fingerprint && a.crashes == b.crashes;
    }
};

//! Counts crashes by request content: how often a runner that executed such a
//! request reset its connection. Content with repeated crashes is blocked; a
//! completed execution clears its count. Counts do not lapse, since the same
//! content may return at any time.
//!
//! Repeated crashes have to outlive all VMs. Of each content, the VMs that saw
//! one of its crashes have its count stored.
class crash_registry
{
public:
    //! Number of crashes after which the content is blocked.
    static constexpr std::uint32_t crash_limit = 3;

    //! Blocked content may be sound and have met three crashes by chance. It
    //! may run once more after each of these times without a crash, until it
    //! has crashed this often.
    static constexpr duration retrial_time = std::chrono::minutes(10);
    static constexpr std::uint32_t final_crash_limit = 5;

    //! Beyond this, content with few and old crashes is forgotten.
    static constexpr std::size_t max_entries = 4096;

    //! Number of crashes from which other VMs are told of the content again
    //! and the store keeps it, and the most records in one message. Single
    //! crashes are frequent, and seldom the fault of the request.
    static constexpr std::uint32_t min_shared_crashes = 2;
    static constexpr std::size_t max_shared_records = 256;

    //! Most records that one VM has stored.
    static constexpr std::size_t max_stored_records = 64;

    //! Age that stored crashes are given. A VM that cleared the content since
    //! it started knows better.
    static constexpr duration stored_crash_age = std::chrono::hours(1);

    //! Time for which a cleared count is remembered, so that a VM that was not
    //! told does not bring it back.
    static constexpr duration cleared_lifetime = std::chrono::minutes(2);

    //! A crash that another VM has seen.
    void record_crash(std::uint64_t fingerprint, time_point now);

    //! A crash that this VM has seen.
    void record_own_crash(std::uint64_t fingerprint, time_point now);

    //! Forgets the crashes of the content. Returns false if none were recorded.
    bool clear(std::uint64_t fingerprint, time_point now);

    //! Content with repeated crashes, the last of them within this time.
    std::vector<crash_record> repeated_crashes(duration max_age,
                                               time_point now) const;

    //! Takes over what another VM knows. Returns false if the content was
    //! cleared here after its last crash there.
    bool merge(crash_record const& record, time_point now);

    //! Takes over what was stored. `own`: this VM goes on to have it stored.
    void restore(absl::Span<stored_crashes const> records, bool own,
                 time_point now);

    //! What this VM has stored, by fingerprint.
    std::vector<stored_crashes> to_store() const;

    //! True if `to_store` may have changed since the last call.
    bool take_change() { return std::exchange(changed_, false); }

    bool is_blocked(std::uint64_t fingerprint) const;

    //! Returns true if one request of blocked content may run now, to see
    //! whether it is sound. Only one VM may ask.
    bool begin_retrial(std::uint64_t fingerprint, time_point now);

    //! Number of crashes that are known of the content.
    std::uint32_t crashes_of(std::uint64_t fingerprint) const;

    void expire(time_point now);

private:
    struct entry
    {
        std::uint32_t crashes = 0;
        bool own = false; //!< this VM has it stored
        time_point last_crash{};
        time_point cleared_at{};
        time_point learned_at{}; //!< of the last crash, or last retrial

        bool is_repeated() const { return crashes >= min_shared_crashes; }
    };

    entry& find_or_add(std::uint64_t fingerprint);

    absl::flat_hash_map<std::uint64_t, entry> entries_;
    bool changed_ = false;
};

} // namespace buckthornvale::decision::gateway

#endif
