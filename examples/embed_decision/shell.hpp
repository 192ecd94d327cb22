#ifndef EMBED_DECISION_SHELL_HPP
#define EMBED_DECISION_SHELL_HPP

#include <buckthornvale/decision/reducer/reducer.hpp>

#include <deque>
#include <string>

namespace embed_decision
{

namespace decision = buckthornvale::decision;

//! Shell around one reducer that prints the effects. Its clock is a number
//! that only `advance` moves, and its runners are functions that answer a
//! fixed time after they were called.
class shell
{
public:
    shell();

    //! Installs the settings, which must outlive the shell.
    void install(decision::fleet_settings const& settings);

    //! Hands over a caller's request.
    void submit(decision::requests::caller_request call);

    //! Moves the clock in steps, and lets the runners answer.
    void advance(decision::duration length);

    //! True when every request has its answer.
    bool idle() const { return reducer_.idle(); }

private:
    //! A call whose answer is due at a time.
    struct pending_call
    {
        decision::time_point due;
        decision::requests::start_attempt attempt;
    };

    void step(decision::event const& value);
    void answer_due_calls();
    decision::wall_time wall_now() const;

    // One for each kind of effect; what is left out is only printed or, as
    // there is neither a store nor a peer, ignored.
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
    std::deque<pending_call> calls_; //!< in the order of their due times
    std::uint64_t next_request_ = 0;
};

} // namespace embed_decision

#endif
