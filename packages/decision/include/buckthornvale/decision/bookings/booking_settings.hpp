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

    //! Length of a window and number of shards in it. All VMs must use the same
    //! values as long as any claim is kept: with other values a claim is looked
    //! up in another object and the booking runs twice.
    std::chrono::milliseconds window = std::chrono::minutes(10);
    std::uint32_t shards = 256;

    std::chrono::milliseconds horizon = std::chrono::hours(24);
    std::chrono::milliseconds future_tolerance = std::chrono::minutes(5);
    //! Age beyond the horizon at which a window is deleted. A VM whose clock is
    //! wrong by less than this refuses a key instead of running it twice.
    std::chrono::milliseconds deletion_margin = std::chrono::hours(1);

    //! Fleet-wide limit of claim writes per second: 80% of the 300 planned.
    //! Each shard is written at most once every shards / writes_per_second
    //! seconds.
    double writes_per_second = 240.;
    //! Time to collect further claims before a write.
    duration batch_delay = std::chrono::milliseconds(5);
    //! Maximum time that a result waits for a write that is made for a claim.
    duration completion_delay = std::chrono::seconds(1);
    //! Time to wait for a committer's answer before this VM commits the update
    //! itself. It must exceed the write interval of a shard, or most forwarded
    //! claims are sent twice.
    duration forward_timeout = std::chrono::milliseconds(1300);
    //! A store call without an answer counts as lost after this time.
    duration store_timeout = std::chrono::seconds(5);
    //! How long this VM tries to commit a claim that a peer forwarded.
    duration peer_claim_lifetime = std::chrono::seconds(10);
    //! Delay before a result that could not be written is retried.
    duration retry_interval = std::chrono::seconds(1);
    //! Age at which a cached claim that is not completed is read again.
    duration max_unfinished_age = std::chrono::milliseconds(500);
    duration backoff_first = std::chrono::milliseconds(50);
    duration backoff_last = std::chrono::seconds(2);
    //! Minimum time between two questions to the service about one claim.
    duration ask_interval = std::chrono::seconds(2);
    //! Minimum time between two reads of the window cleaner.
    duration clean_interval = std::chrono::milliseconds(500);
    //! Number of windows before the oldest retained one that a new process
    //! checks.
    std::uint64_t clean_backlog = 144;

    //! Memory limits. A claim above a limit is refused, not evicted.
    std::size_t max_records = 4096;
    std::size_t max_questions = 1024;
    std::size_t max_queue = 2048;        //!< updates waiting per shard
    std::size_t max_shards = 1024;       //!< shards with state in memory
    std::size_t cache_bytes = 8'000'000; //!< encoded size of cached shards

    //! The store limits a value to 1 MB. New claims stop below that, so that
    //! the results of existing claims still fit.
    std::size_t max_value_bytes = 1'000'000;
    std::size_t max_claim_bytes = 900'000;
};

} // namespace buckthornvale::decision::bookings

#endif
