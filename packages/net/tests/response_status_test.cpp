#include "fixed_answer_server.hpp"
#include <buckthornvale/net/http_client.hpp>
#include <buckthornvale/net/short_call.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <optional>

namespace buckthornvale::net
{
namespace
{

using namespace std::chrono_literals;

//! Limits how long a failing test can hang.
constexpr std::chrono::seconds hang_timeout{60};

//! Result of a call to a server that sends the bytes and closes the connection.
call_result result_of(std::string const& answer)
{
    asio::io_context loop;
    fixed_answer_server const server(loop, answer);
    http_client client(loop, steady_now);
    std::optional<call_result> out;
    make_call(client, server.address(),
              {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", {}}, {},
              [&](call_result const& it) { out = it; });
    auto const end = std::chrono::steady_clock::now() + hang_timeout;
    while (!out && std::chrono::steady_clock::now() < end)
        loop.run_one_for(20ms);
    return out.value_or(call_result());
}

constexpr char const* whole_answer =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

// A response with status 000 was delivered as an answer. The server may have
// executed the request, so the call must not count as unsent either.
TEST(response_status, ends_the_call_without_an_answer_when_it_is_invalid)
{
    for (std::string const status :
         {"000", "0", "099", "1000", "600", "999", "42", "-1", "abc", "2 0"})
    {
        auto const result = result_of("HTTP/1.1 " + status +
                                      " Text\r\nContent-Length: 4\r\n\r\nbody");
        EXPECT_EQ(result.failure, call_failure::no_answer) << status;
    }
}

// The answer after it on the same connection may belong to another request.
TEST(response_status, lets_no_answer_follow_an_invalid_one)
{
    auto const result =
        result_of("HTTP/1.1 000 Text\r\n\r\n" + std::string(whole_answer));
    EXPECT_EQ(result.failure, call_failure::no_answer);
}

// Guards against an interim response that is taken for the answer. One that
// switches protocols was not asked for and is skipped too.
TEST(response_status, is_awaited_beyond_interim_responses)
{
    for (std::string const interim :
         {"100 Continue\r\n", "101 Switching Protocols\r\n",
          "101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n",
          "103 Early Hints\r\nLink: </a>\r\n", "199 Other\r\n"})
    {
        auto const result = result_of("HTTP/1.1 " + interim + "\r\n" +
                                      std::string(whole_answer));
        EXPECT_FALSE(result.failure) << interim;
        EXPECT_EQ(result.head.status, 200) << interim;
        EXPECT_EQ(result.body, "whole") << interim;
    }
}

} // namespace
} // namespace buckthornvale::net
