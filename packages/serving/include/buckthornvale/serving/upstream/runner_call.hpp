#ifndef BUCKTHORNVALE_SERVING_UPSTREAM_RUNNER_CALL_HPP
#define BUCKTHORNVALE_SERVING_UPSTREAM_RUNNER_CALL_HPP

#include <buckthornvale/decision/requests/attempt_messages.hpp>
#include <buckthornvale/net/http_client.hpp>
#include <buckthornvale/serving/upstream/event_parser.hpp>
#include <buckthornvale/serving/upstream/runner_codec.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace buckthornvale::serving::upstream
{

//! Bounds of one call.
struct call_limits
{
    std::chrono::milliseconds connect{1000};
    std::size_t max_answer_bytes =
        std::size_t{4} * 1024 * 1024;                     //!< not streamed
    std::size_t max_event_bytes = std::size_t{64} * 1024; //!< one token event
};

//! One call to a runner over a connection of its own. It is used on the loop
//! of its client.
class runner_call final : public net::answer_handler
{
public:
    using token_handler =
        std::function<void(decision::requests::attempt_token)>;
    using end_handler = std::function<void(decision::requests::attempt_ended)>;

    //! The budget counts from `now`. `on_end` is called once for each call
    //! that was started or ended with `end`; the call may be destroyed in it.
    runner_call(decision::requests::start_attempt attempt,
                call_limits const& limits, decision::time_point now,
                token_handler on_token, end_handler on_end);

    //! Sends the request. A call whose budget has passed ends at once.
    void start(net::http_client& client, decision::time_point now);

    //! Ends the call with this outcome, and its connection.
    void end(decision::requests::attempt_outcome result, std::string detail,
             bool runner_crashed = false);

    decision::requests::start_attempt const& attempt() const
    {
        return attempt_;
    }
    bool sent() const { return client_ != nullptr; }

    // net::answer_handler
    net::response_match
    on_answer_head(buckthornvale::http::response_head const& head) override;
    bool on_answer_body(std::string_view bytes) override;
    void on_answer_end() override;
    void on_answer_failed(net::call_failure failure, bool reset) override;

private:
    bool take_event(std::string_view name, std::string_view data);
    void judge();
    void finish(decision::requests::attempt_ended value);
    decision::requests::attempt_ended
    ended(decision::requests::attempt_outcome result, std::string detail) const;

    decision::requests::start_attempt attempt_;
    call_limits limits_;
    token_handler on_token_;
    end_handler on_end_;
    decision::time_point begin_;
    net::http_client* client_ = nullptr;
    net::call_id call_ = 0;
    bool finished_ = false;

    // What was received of the answer.
    event_parser events_;
    int status_ = 0;
    std::string body_;
    std::optional<stream_end> stream_end_;
    std::string fault_; //!< why receiving was given up; empty: it was not
};

} // namespace buckthornvale::serving::upstream

#endif
