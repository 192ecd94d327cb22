#include "unread_upload.hpp"

namespace buckthornvale::net
{
namespace
{

//! Larger than the receive buffer of the server, so that part of it waits in
//! the kernel of the client.
constexpr std::size_t short_upload = 200'000;

constexpr char const* head_without_length = "HTTP/1.1 200 OK\r\n\r\n";
constexpr char const* head_with_length =
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";

class early_answer : public unread_upload
{
};

// Guards against a reset that is lost, since only the failed write reports it
// and a later read reports an orderly end.
TEST_F(early_answer, is_incomplete_when_a_reset_follows_unread_bytes)
{
    for (auto const size : {short_upload, long_upload})
    {
        start_upload(size);
        write(std::string(head_without_length) + "part");
        reset();
        run_until_ended();
        EXPECT_TRUE(result->failure) << size;
    }
}

TEST_F(early_answer, is_incomplete_when_a_reset_follows_bytes_that_were_read)
{
    for (auto const size : {short_upload, long_upload})
    {
        start_upload(size);
        write(std::string(head_without_length) + "part");
        run();
        reset();
        run_until_ended();
        EXPECT_EQ(result->failure, call_failure::broken_off) << size;
    }
}

// A server that crashed while it had nothing unread ended its connection in
// order; the rest of the upload was reset. Its part of a body without length
// was delivered as a complete answer.
TEST_F(early_answer, is_incomplete_when_it_ends_in_order_within_the_upload)
{
    for (auto const size : {short_upload, long_upload})
    {
        start_upload(size);
        write(std::string(head_without_length) + "part");
        run();
        end_sending();
        run_until_ended();
        EXPECT_EQ(result->failure, call_failure::broken_off) << size;
    }
}

// The same with an end and a reset that the client finds together.
TEST_F(early_answer, is_incomplete_when_a_reset_follows_its_end)
{
    for (auto const size : {short_upload, long_upload})
    {
        start_upload(size);
        write(std::string(head_without_length) + "part");
        end_sending();
        reset();
        run_until_ended();
        EXPECT_TRUE(result->failure) << size;
    }
}

// A server may refuse a long request at once. The length shows that its answer
// is whole.
TEST_F(early_answer, is_complete_with_its_length)
{
    start_upload(long_upload);
    write(std::string(head_with_length) + "full");
    end_sending();
    run_until_ended();
    EXPECT_FALSE(result->failure);
    EXPECT_EQ(result->body, "full");
}

// The end of the connection is the only end of an answer without length.
TEST_F(early_answer, is_complete_without_length_after_the_whole_upload)
{
    for (auto const size : {short_upload, long_upload})
    {
        start_upload(size);
        write(std::string(head_without_length) + "fu");
        read_upload();
        write("ll");
        end_sending();
        run_until_ended();
        EXPECT_FALSE(result->failure) << size;
        EXPECT_EQ(result->body, "full") << size;
    }
}

} // namespace
} // namespace buckthornvale::net
