#ifndef EMBED_DECISION_SHELL_HPP
#define EMBED_DECISION_SHELL_HPP

#include <buckthornvale/decision/reducer/reducer.hpp>

#include <deque>
#include <string>

namespace embed_decision
{

namespace decision = buckthornvale::decision;

//! Minimal imperative shell around the reducer: feeds it events and executes
//! its effects by printing them. The clock is simulated and advances only in
//! `advance`. Simulated runners answer each call after a fixed time.
class shell
{
public:
    shell();

    //! Installs the settings, which must outlive the shell.
    void install(decision::fleet_settings const& settings);

    //! Passes a caller's request to the reducer.
    void submit(decision::requests::caller_request call);

    //! Advances the clock in ticks and delivers the answers that become due.
    void advance(decision::duration length);

    //! True if every request has been answered.
    bool idle() const { return reducer_.idle(); }

private:
    //! A runner call that has not been answered yet.
    struct pending_call
    {
        decision::time_point due;
        decision::requests::start_attempt attempt;
    };

    void step(decision::event const& value);
    void answer_due_calls();
    decision::wall_time wall_now() const;

    // One overload for each effect that this example handles. The template
    // ignores all others: there is neither a store nor a peer.
    void execute(decision::requests::start_attempt const& effect);
    void execute(decision::requests::cancel_attempt const& effect);
    void execute(decision::requests::send_token const& effect);
    void execute(decision::requests::send_answer const& effect);
    void execute(decision::requests::request_counted const& effect);
    template <class Effect>
    void execute(Effect const&)
    {
    }

    void print(std::string const& text) const;

    decision::time_point now_{};
    decision::reducer reducer_;
    std::deque<pending_call> calls_; //!< sorted by due time
    std::uint64_t next_request_ = 0;
};

} // namespace embed_decision

#endif
