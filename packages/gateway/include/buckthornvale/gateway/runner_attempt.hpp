#ifndef BUCKTHORNVALE_GATEWAY_RUNNER_ATTEMPT_HPP
#define BUCKTHORNVALE_GATEWAY_RUNNER_ATTEMPT_HPP

#include <buckthornvale/decision/gateway/event.hpp>
#include <buckthornvale/gateway/answer_memory.hpp>
#include <buckthornvale/gateway/sse_splitter.hpp>
#include <buckthornvale/net/http_client.hpp>
#include <buckthornvale/platform/headers.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace buckthornvale::gateway
{

//! One attempt to send a request to a runner. It describes the response to a
//! listener; the reducer decides what it means.
class runner_attempt final : public net::answer_handler
{
public:
    class listener
    {
    public:
        virtual ~listener() = default;

        //! Receives complete server-sent events, in order.
        virtual void on_sse_events(runner_attempt& from,
                                   std::string_view events) = 0;

        //! The head of an answer may say which further requests the runner
        //! wants.
        virtual void
        on_runner_head(std::string const& runner_id,
                       platform::runner_response const& response) = 0;

        //! An answer to another request came on the connection.
        virtual void
        on_answer_discarded(runner_attempt const& from, int status,
                            platform::runner_response const& response) = 0;

        //! The answer has more bytes than may be held of it; the attempt ends.
        virtual void on_answer_too_large(runner_attempt const& from,
                                         std::size_t bytes) = 0;
        virtual void
        on_attempt_ended(runner_attempt& from,
                         decision::gateway::attempt_ended const& outcome) = 0;
    };

    //! `resumed_after` is the id of the last event that the caller has; empty
    //! for a stream that begins.
    runner_attempt(listener& attempt_listener,
                   std::shared_ptr<answer_memory> memory,
                   decision::gateway::request_ref request, std::uint32_t number,
                   std::string runner_id, std::string request_id,
                   bool expects_stream, std::string resumed_after);

    decision::gateway::request_ref request() const { return request_; }
    std::uint32_t number() const { return number_; }
    std::string const& runner_id() const { return runner_id_; }
    std::string const& request_id() const { return request_id_; }
    http::response_head const& head() const { return head_; }
    platform::runner_response const& response() const { return response_; }

    //! Part of the body that was not forwarded as events.
    std::string& body() { return body_; }

    //! True if the response is a stream whose events are forwarded on arrival.
    bool streaming() const { return streaming_; }

    //! Id of the last event that was forwarded.
    std::string const& last_event_id() const
    {
        return splitter_.last_event_id();
    }

    // net::answer_handler
    net::response_match
    on_answer_head(http::response_head const& head) override;
    bool on_answer_body(std::string_view bytes) override;
    void on_answer_end() override;
    void on_answer_failed(net::call_failure failure, bool reset) override;

    net::call_id call = 0;
    net::connection_number connection = 0;

private:
    decision::gateway::attempt_ended
    describe(decision::gateway::transport_end transport) const;

    listener& listener_;
    decision::gateway::request_ref const request_;
    std::uint32_t const number_;
    std::string const runner_id_;
    std::string const request_id_;
    bool const expects_stream_;
    std::string const resumed_after_;
    bool streaming_ = false;
    bool has_events_ = false;
    bool head_received_ = false;
    http::response_head head_;
    platform::runner_response response_;
    std::string body_;
    sse_splitter splitter_;
    answer_memory::reservation memory_; //!< of what is buffered
};

} // namespace buckthornvale::gateway

#endif
