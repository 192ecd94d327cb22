#ifndef BUCKTHORNVALE_DECISION_GATEWAY_ANNOUNCED_STAGE_TABLE_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_ANNOUNCED_STAGE_TABLE_HPP

#include <buckthornvale/decision/gateway/stage_message.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <string>

namespace buckthornvale::decision::gateway
{

//! Pieces of one stage of a request that were announced and not submitted.
struct announced_pieces
{
    std::string member;
    request_ref request = 0;
    std::uint32_t pieces = 0;
    dispatch_priority priority;
    time_point due{};
};

//! Later stages of admitted requests, by the key of the first piece of the
//! stage.
class announced_stage_table
{
public:
    using map = absl::flat_hash_map<std::uint64_t, announced_pieces>;

    map::const_iterator begin() const { return entries_.begin(); }
    map::const_iterator end() const { return entries_.end(); }

    //! Adds an entry, or replaces the previous one.
    void add(std::uint64_t key, announced_pieces entry);

    //! Drops the entry of a stage whose pieces were submitted.
    void erase(std::uint64_t key) { entries_.erase(key); }

    //! Drops the stages of these requests of a VM.
    void withdraw(std::string const& member,
                  absl::flat_hash_set<request_ref> const& requests);

    //! Drops all stages of a VM that has lost its state.
    void withdraw_all(std::string const& member);

    //! Drops all stages of all other VMs.
    void withdraw_all_but(std::string const& member);

    //! Drops stages that are due but were not submitted: their requests have
    //! ended, or will be late.
    void expire(time_point now);

private:
    map entries_;
};

} // namespace buckthornvale::decision::gateway

#endif
