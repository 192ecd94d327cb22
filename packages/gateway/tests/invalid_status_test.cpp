#include "fleet_fixture.hpp"

namespace buckthornvale::gateway
{
namespace
{

using standins::fleet_platform::answer_head;
using standins::fleet_platform::received_request;
using standins::fleet_platform::runner_standin;

//! A gateway whose runners answer the first send of a request with a status
//! that does not exist.
class invalid_status : public fleet_fixture
{
protected:
    invalid_status() : gateway(start_gateway("vm-0")) {}

    //! Sends a request, of which the first send gets the status.
    std::string exchange_with(std::string const& path,
                              std::string const& status)
    {
        auto const sends = std::make_shared<int>(0);
        auto const answer = [=](received_request const& in)
        {
            answer_head head;
            head.sealed = true;
            head.status_line = ++*sends == 1 ? status + " Text" : "200 OK";
            return runner_standin::with_head(in, head, "data: a\n\n");
        };
        for (auto* it : {one.get(), other.get(), engine.get()})
        {
            it->received.clear();
            it->script.assign(2, answer);
        }
        return exchange(request("POST", path, "body"));
    }

    std::size_t sends() const
    {
        return one->received.size() + other->received.size() +
               engine->received.size();
    }

    std::unique_ptr<runner> one = add_runner("plain-1", "plain");
    std::unique_ptr<runner> other = add_runner("plain-2", "plain");
    std::unique_ptr<runner> engine = add_runner("engine-1", "engine");
    std::unique_ptr<gateway_process> gateway;
};

// A response with status 000 was delivered to the caller. The request may have
// run, so that it must not be sent again.
TEST_F(invalid_status, of_an_unrepeatable_request_is_a_bad_gateway)
{
    for (auto const* status : {"000", "099", "600", "42", "-1", "abc"})
    {
        auto const answer = exchange_with("/book/x", status);
        EXPECT_EQ(answer.rfind("HTTP/1.1 502", 0), 0U) << answer;
        EXPECT_EQ(sends(), 1U) << status;
    }
}

TEST_F(invalid_status, of_an_idempotent_request_leads_to_another_send)
{
    for (auto const* status : {"000", "600"})
    {
        auto const answer = exchange_with("/read/x", status);
        EXPECT_EQ(answer.rfind("HTTP/1.1 200", 0), 0U) << answer;
        EXPECT_EQ(sends(), 2U) << status;
    }
}

TEST_F(invalid_status, of_a_stream_is_a_bad_gateway)
{
    auto const answer = exchange_with("/stream/x", "000");
    EXPECT_EQ(answer.rfind("HTTP/1.1 502", 0), 0U) << answer;
    EXPECT_EQ(sends(), 1U);
}

} // namespace
} // namespace buckthornvale::gateway
