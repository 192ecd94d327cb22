#ifndef BUCKTHORNVALE_DECISION_GATEWAY_ENGINE_PROFILE_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_ENGINE_PROFILE_HPP

#include <buckthornvale/decision/core/time.hpp>

namespace buckthornvale::decision::gateway
{

//! What a first event tells of a runner.
struct first_event_sample
{
    double tokens_before = 0; //!< that the runner was expected to read
    duration elapsed{};       //!< since the send
    double reported_slowdown = 1;
};

//! How the runners of a model service usually perform, learned from the
//! requests of this VM.
class engine_profile
{
public:
    //! Records a send to a runner that has to read this many tokens of the
    //! prompt.
    void record_send(double unread_tokens);
    void record_first_event(first_event_sample const& sample);

    //! Average number of tokens that a runner has to read of a prompt.
    double mean_unread_tokens() const { return mean_unread_tokens_; }

    //! Usual time to the first event if the runner has to read this many tokens
    //! before.
    duration usual_time(double tokens_before) const;

    //! Expected time to the first event of a prompt of which a runner has to
    //! read this many tokens, with the usual wait.
    duration expected_first_event(double unread_tokens) const;

private:
    void record_speed(first_event_sample const& sample);

    double base_time_s_ = 0.03; //!< does not depend on the prompt
    double read_tokens_per_s_ = 30'000;
    double mean_unread_tokens_ = 1000;
    double mean_wait_s_ = 0; //!< beyond the usual time
};

} // namespace buckthornvale::decision::gateway

#endif
