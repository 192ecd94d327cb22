#ifndef BUCKTHORNVALE_DECISION_GATEWAY_RESULT_HISTORY_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_RESULT_HISTORY_HPP

#include <buckthornvale/decision/core/time.hpp>

#include <absl/container/flat_hash_set.h>

#include <deque>
#include <string>

namespace buckthornvale::decision::gateway
{

//! The handles of results that stage runners returned lately. An answer that
//! contains one again is a late copy of an earlier answer: answers to calls of
//! stages name neither their call nor their requests.
class result_history
{
public:
    static constexpr duration memory_time = std::chrono::seconds(10);

    void add(std::string const& handle, time_point now);
    bool contains(std::string const& handle) const;

    //! Forgets handles that are older than the memory time.
    void expire(time_point now);

private:
    struct entry
    {
        time_point added_at{};
        std::string handle;
    };

    std::deque<entry> entries_; //!< oldest first
    absl::flat_hash_set<std::string> handles_;
};

} // namespace buckthornvale::decision::gateway

#endif
