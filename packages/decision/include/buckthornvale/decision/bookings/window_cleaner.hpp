#ifndef BUCKTHORNVALE_DECISION_BOOKINGS_WINDOW_CLEANER_HPP
#define BUCKTHORNVALE_DECISION_BOOKINGS_WINDOW_CLEANER_HPP

#include <buckthornvale/decision/bookings/booking_effects.hpp>
#include <buckthornvale/decision/bookings/booking_settings.hpp>

#include <absl/types/span.h>

#include <cstdint>

namespace buckthornvale::decision::bookings
{

//! Deletes shard objects whose entire window is older than the horizon plus its
//! margin. Each VM checks the shards assigned to it by rendezvous hashing, one
//! at a time.
class window_cleaner
{
public:
    explicit window_cleaner(booking_settings const& settings);

    void tick(time_point now, wall_time wall, absl::Span<vm_id const> live,
              booking_effects& out);
    //! Returns false if the token does not belong to this cleaner.
    bool store_answer(bookings::store_answer const& answer, time_point now,
                      booking_effects& out);

    std::uint64_t deleted() const { return deleted_; }

private:
    bool advance_cursor(std::uint64_t first_kept_window,
                        absl::Span<vm_id const> live);

    booking_settings settings_;
    bool started_ = false;
    shard_address cursor_;  //!< next shard to check
    shard_address current_; //!< shard of the call in flight
    store_token token_ = 0; //!< 0: no call in flight
    std::uint64_t calls_ = 0;
    bool deleting_ = false;
    time_point next_call_at_{};
    time_point call_started_{};
    std::uint64_t deleted_ = 0;
};

} // namespace buckthornvale::decision::bookings

#endif
