#include "fleet_fixture.hpp"

namespace buckthornvale::gateway
{
namespace
{

using namespace std::chrono_literals;
using decision::gateway::request_kind;
using standins::fleet_platform::received_request;
using standins::fleet_platform::runner_standin;

//! A gateway that accepts long uploads, and runners that answer them at once
//! with a part of a body without length.
class early_answer : public fleet_fixture
{
protected:
    static constexpr std::size_t upload_bytes = 4'000'000;

    //! How a runner ends its connection.
    enum class ending
    {
        reset,       //!< together with its answer
        later_reset, //!< when the gateway has read the answer
        in_order     //!< the rest of the upload stays unread
    };

    early_answer()
    {
        auto manifest = standins::fleet_platform::manifest_of(
            2, {{"/book/", request_kind::at_most_once, "plain", 1, false, {}},
                {"/stream/", request_kind::stream, "engine", 1, false, {}}});
        manifest["limits"]["maxBodyBytes"] = 2 * upload_bytes;
        object_store.put_manifest(manifest);
        gateway = start_gateway("vm-0");
    }

    //! What the caller receives for an upload that the runner answers early.
    std::string upload(runner& to, std::string const& path,
                       std::string const& part, ending how)
    {
        to.received.clear();
        to.early_answer = [&](received_request const& in)
        {
            auto out = runner_standin::without_length(in, part);
            out.reset = how == ending::reset;
            out.close = how == ending::in_order;
            return out;
        };
        recording_caller caller(loop, callers_port);
        caller.send(request("POST", path, std::string(upload_bytes, 'x')));
        EXPECT_TRUE(run_until([&] { return !to.received.empty(); }))
            << caller.received;
        run_for(200ms);
        if (how == ending::later_reset)
            to.reset(to.received.back().connection);
        run_for(500ms);
        return caller.received;
    }

    std::unique_ptr<runner> plain = add_runner("plain-1", "plain");
    std::unique_ptr<runner> engine = add_runner("engine-1", "engine");
    std::unique_ptr<gateway_process> gateway;
};

// A runner that crashed within an upload, after the first part of an answer
// without length, ended its connection in order: the caller got the part as a
// complete answer.
TEST_F(early_answer, is_not_delivered_when_it_ends_within_the_upload)
{
    for (auto const how :
         {ending::reset, ending::later_reset, ending::in_order})
    {
        auto const answer = upload(*plain, "/book/x", "part", how);
        EXPECT_EQ(answer.rfind("HTTP/1.1 502", 0), 0U) << int(how) << answer;
        EXPECT_FALSE(contains(answer, "part")) << int(how);
    }
}

// The same with a stream, whose part consists of whole events.
TEST_F(early_answer, does_not_end_its_stream_within_the_upload)
{
    for (auto const how :
         {ending::reset, ending::later_reset, ending::in_order})
    {
        auto const answer =
            upload(*engine, "/stream/x", "id: 1\ndata: a\n\n", how);
        EXPECT_FALSE(answer.empty()) << int(how);
        EXPECT_FALSE(contains(answer, "\r\n0\r\n\r\n")) << int(how) << answer;
    }
}

} // namespace
} // namespace buckthornvale::gateway
