#ifndef BUCKTHORNVALE_DECISION_BOOKINGS_BOOKING_SETTINGS_HPP
#define BUCKTHORNVALE_DECISION_BOOKINGS_BOOKING_SETTINGS_HPP

#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/core/time.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace buckthornvale::decision::bookings
{

//! Parameters of the booking table.
struct booking_settings
{
    vm_id self;
    std::uint64_t incarnation = 0; //!< of this process, drawn at random

    //! Length of a window and number of shards in it. All VMs must use the
    //! same values while any claim is kept: another value looks for a claim in
    //! another object, and the booking would run twice.
    std::chrono::milliseconds window = std::chrono::minutes(10);
    std::uint32_t shards = 256;

    std::chrono::milliseconds horizon = std::chrono::hours(24);
    std::chrono::milliseconds future_tolerance = std::chrono::minutes(5);
    //! Age beyond the horizon at which a window is deleted. A VM whose clock
    //! is wrong by less than this refuses a key rather than runs it twice.
    std::chrono::milliseconds deletion_margin = std::chrono::hours(1);

    //! Fleet-wide writes per second for claims: 80% of the 300 planned. Each
    //! shard is written at most every shards / writes_per_second seconds.
    double writes_per_second = 240.;
    //! Wait for further claims before a write.
    duration batch_delay = std::chrono::milliseconds(5);
    //! Longest wait of a result for a write that is made for a claim.
    duration completion_delay = std::chrono::seconds(1);
    //! Wait for a committer's answer before this VM commits itself. Above the
    //! write interval of a shard, or most forwarded claims would be sent twice.
    duration forward_timeout = std::chrono::milliseconds(1300);
    //! A store call without an answer for so long counts as lost.
    duration store_timeout = std::chrono::seconds(5);
    //! How long this VM tries to commit a claim that a peer forwarded.
    duration peer_claim_lifetime = std::chrono::seconds(10);
    //! Wait before a result that could not be written is tried again.
    duration retry_interval = std::chrono::seconds(1);
    //! Age at which a cached unfinished claim is read again.
    duration max_unfinished_age = std::chrono::milliseconds(500);
    duration backoff_first = std::chrono::milliseconds(50);
    duration backoff_last = std::chrono::seconds(2);
    //! Least time between two questions to the service about one claim.
    duration ask_interval = std::chrono::seconds(2);
    //! Least time between two reads of the window cleaner.
    duration clean_interval = std::chrono::milliseconds(500);
    //! Windows before the oldest kept one that a new process looks through.
    std::uint64_t clean_backlog = 144;

    //! Bounds of memory. A claim above a bound is refused, not forgotten.
    std::size_t max_records = 4096;
    std::size_t max_questions = 1024;
    std::size_t max_queue = 2048;        //!< updates waiting per shard
    std::size_t max_shards = 1024;       //!< shards with state in memory
    std::size_t cache_bytes = 8'000'000; //!< encoded size of cached shards

    //! The store's values hold 1 MB. Claims stop below, so that results of
    //! claims already made still fit.
    std::size_t max_value_bytes = 1'000'000;
    std::size_t max_claim_bytes = 900'000;
};

} // namespace buckthornvale::decision::bookings

#endif
