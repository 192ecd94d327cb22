#ifndef BUCKTHORNVALE_DECISION_ROUTING_SPEED_ESTIMATE_HPP
#define BUCKTHORNVALE_DECISION_ROUTING_SPEED_ESTIMATE_HPP

#include <buckthornvale/decision/core/time.hpp>

#include <cstdint>

namespace buckthornvale::decision::routing
{

//! Learnt speed of one runner: predicted work per second of elapsed time, where
//! work is service time at speed 1. It calibrates the router's own predictions,
//! including queueing.
class speed_estimate
{
public:
    //! Updates the recent speed with an attempt that had `work` seconds queued
    //! ahead of it plus its own.
    void record_completion(double work, double elapsed);

    //! Recent speed; the weight of `prior` (the pool's mean) fades with
    //! completions.
    double recent(double prior) const;

    //! Long-term speed; slow completions do not lower it.
    double long_term(double prior) const;

    //! Returns whether `elapsed` exceeds `factor` times the prediction plus
    //! `margin`.
    bool is_slow(double work, double elapsed, double prior, double factor,
                 double margin) const;

    //! Adopts the recent speed as the long-term one.
    void adopt_recent_speed() { long_term_speed_ = work_ / elapsed_; }

    //! Includes a completion in the long-term speed.
    void learn_long_term(double work, double elapsed);

private:
    double work_ = 0.;            //!< decayed sum, seconds
    double elapsed_ = 0.;         //!< decayed sum, seconds
    double weight_ = 0.;          //!< decayed count
    double long_term_speed_ = 0.; //!< 0: nothing learnt
    std::uint32_t long_term_samples_ = 0;
};

} // namespace buckthornvale::decision::routing

#endif
