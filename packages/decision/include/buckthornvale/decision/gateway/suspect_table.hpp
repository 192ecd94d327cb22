#ifndef BUCKTHORNVALE_DECISION_GATEWAY_SUSPECT_TABLE_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_SUSPECT_TABLE_HPP

#include <buckthornvale/decision/gateway/crash_suspect.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace buckthornvale::decision::gateway
{

//! What one VM knows of suspects: which are accused or blocked, and which were
//! in runs that were answered.
class suspect_table
{
public:
    static constexpr std::size_t max_entries = 256;

    //! A blocked suspect is forgotten this long after the last crash.
    static constexpr duration entry_lifetime = std::chrono::minutes(2);

    //! Number of suspects whose answered runs are remembered at least; the
    //! table keeps up to twice as many.
    static constexpr std::size_t min_answered = 4096;

    //! Each returns true if a run with the suspect was answered since the first
    //! crash; the suspect is then neither accused nor blocked.
    bool accuse(crash_verdict const& verdict, time_point now);
    bool block(crash_verdict const& verdict, time_point now);

    //! Clears the suspects, and returns those that were accused or blocked.
    std::vector<crash_suspect>
    record_answered(absl::Span<crash_suspect const> suspects, time_point now);

    //! Returns the first of the suspects that is blocked.
    std::optional<crash_suspect>
    find_blocked(absl::Span<crash_suspect const> suspects) const;

    bool is_blocked(crash_suspect const& suspect) const;

    std::vector<crash_suspect> blocked() const;
    std::vector<crash_verdict> verdicts(time_point now) const;

    void expire(time_point now);

private:
    struct entry
    {
        bool blocked = false;
        time_point first_crash{};
        time_point last_crash{};
    };

    using answered_map = absl::flat_hash_map<crash_suspect, time_point>;

    bool is_answered_since(crash_suspect const& suspect, time_point at) const;
    entry* find_or_add(crash_suspect const& suspect, time_point now);

    absl::flat_hash_map<crash_suspect, entry> entries_;
    //! Two generations: when the newer one is full, it replaces the older one.
    answered_map answered_;
    answered_map answered_before_;
};

} // namespace buckthornvale::decision::gateway

#endif
