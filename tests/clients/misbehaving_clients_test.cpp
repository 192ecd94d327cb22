#include "crowd_client.hpp"
#include <buckthornvale/gateway/peer/peer_sender.hpp>
#include <buckthornvale/platform/headers.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <soak/gateway_vm.hpp>
#include <standins/fleet_platform/caller.hpp>
#include <standins/fleet_platform/manifest.hpp>
#include <standins/fleet_platform/runner_standin.hpp>
#include <standins/fleet_platform/store_standin.hpp>
#include <unistd.h>
#include <vector>

namespace buckthornvale::clients
{
namespace
{

using namespace std::chrono_literals;
using standins::fleet_platform::received_request;
using standins::fleet_platform::runner_standin;
using standins::fleet_platform::start_of_request;
using standins::fleet_platform::vm_settings;

constexpr int memory_mb = 40;
constexpr int file_descriptors = 400;

//! Descriptors of the limit that are not for sockets and pipes.
constexpr std::size_t file_reserve = 200;

constexpr std::size_t max_header_bytes = 16'384;
constexpr std::size_t max_body_bytes = 1'000'000;

constexpr std::size_t large_crowd = 250; //!< more than the process has sockets
constexpr std::size_t small_crowd = 64;

//! Where a crowd sends its requests.
struct target
{
    char const* name;
    std::uint16_t vm_settings::*port;
    std::string_view path;
};

std::ostream& operator<<(std::ostream& out, target const& it)
{
    return out << it.name;
}

std::string head_of(std::string_view path)
{
    return start_of_request("POST", std::string(path), "id") +
           "X-Request-Deadline-Ms: 3000\r\nAuthorization: Bearer key\r\n";
}

//! A request with a body of this length, of which only the first bytes are
//! sent.
std::string with_length(std::string_view path, std::size_t stated_bytes,
                        std::size_t sent_bytes)
{
    return head_of(path) + "Content-Length: " + std::to_string(stated_bytes) +
           "\r\n\r\n" + std::string(sent_bytes, 'b');
}

//! A request whose body is sent in chunks and has no end.
std::string without_last_chunk(std::string_view path, std::size_t body_bytes)
{
    constexpr std::size_t chunk_bytes = 1000;
    auto out = head_of(path) + "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t n = 0; n < body_bytes; n += chunk_bytes)
        out += "3e8\r\n" + std::string(chunk_bytes, 'c') + "\r\n";
    return out;
}

//! As many fields as fit into the limit, with room for the others.
std::string short_fields()
{
    constexpr std::size_t counted_bytes = 5; // "a", ":" and what ends the line
    std::string out;
    for (std::size_t n = 0; n < (max_header_bytes - 512) / counted_bytes; ++n)
        out += "a:\r\n";
    return out;
}

std::shared_ptr<std::string const> shared(std::string text)
{
    return std::make_shared<std::string const>(std::move(text));
}

//! The gateway process with a store and a runner, and a crowd of clients.
class gateway_under_crowd
{
public:
    gateway_under_crowd()
        : folder_(std::filesystem::temp_directory_path() /
                  ("gateway_crowd_" + std::to_string(::getpid())))
    {
        std::filesystem::create_directory(folder_);
        put_manifest();
        store_.put_runner("plain-1", runner.entry("plain"));
        vm_settings settings;
        settings.name = "vm-0";
        settings.store_port = store_.port();
        settings.memory_mb = memory_mb;
        settings.file_descriptors = file_descriptors;
        vm = std::make_unique<soak::gateway_vm>(
            loop_, BUCKTHORNVALE_GATEWAY_PROGRAM, folder_, settings);
        vm->start();
        run_until([&] { return store_.members() == 1; });
        run_for(300ms);
    }

    ~gateway_under_crowd()
    {
        crowd_.clear();
        std::filesystem::remove_all(folder_);
    }

    //! Starts the crowd and runs until it gets no further.
    void play(target const& to, std::size_t clients, crowd_plan const& plan)
    {
        auto const port = vm->settings().*to.port;
        for (std::size_t n = 0; n < clients && vm->running(); ++n)
        {
            crowd_.push_back(std::make_unique<crowd_client>(loop_, port, plan));
            loop_.restart();
            loop_.poll();
        }
        std::size_t transferred = 0;
        int steps_without_transfer = 0;
        for (int step = 0; step < 30 && steps_without_transfer < 6; ++step)
        {
            run_for(50ms);
            most_sockets_ = std::max(most_sockets_, vm->open_sockets());
            auto const before = std::exchange(transferred, 0);
            for (auto const& it : crowd_)
                transferred += it->transferred();
            steps_without_transfer =
                transferred > before ? 0 : steps_without_transfer + 1;
        }
    }

    //! Checks what holds whatever clients do, while the crowd is still there.
    void expect_unharmed()
    {
        runner.script.clear();
        auto const answer =
            exchange(vm->caller_port(), with_length("/book/ordinary", 4, 4));
        EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 200") << answer;
        auto const ready =
            exchange(vm->settings().readiness_port,
                     "GET " + std::string(platform::readiness_path) +
                         " HTTP/1.1\r\nHost: h\r\n\r\n");
        EXPECT_EQ(ready.substr(0, 12), "HTTP/1.1 200") << ready;
        ASSERT_TRUE(vm->running()) << vm->crash();
        testing::Test::RecordProperty("peak_memory_kb",
                                      int(vm->peak_memory_kb()));
        testing::Test::RecordProperty("most_sockets", int(most_sockets_));
        EXPECT_LE(vm->peak_memory_kb(), memory_mb * 1024L);
        EXPECT_LE(most_sockets_, file_descriptors - file_reserve);
    }

    //! Sends bytes on a new connection. Returns what comes back until the end
    //! of the connection or of a head, or nothing for a long time.
    std::string exchange(std::uint16_t port, std::string const& bytes)
    {
        asio::ip::tcp::socket socket(loop_, asio::ip::tcp::v4());
        asio::error_code ec;
        socket.connect({asio::ip::make_address("127.0.0.1"), port}, ec);
        socket.non_blocking(true, ec);
        std::size_t sent = 0;
        std::string out;
        run_until(
            [&]
            {
                if (sent < bytes.size())
                    sent += socket.write_some(
                        asio::buffer(bytes.data() + sent, bytes.size() - sent),
                        ec);
                char buf[4096];
                out.append(buf, socket.read_some(asio::buffer(buf), ec));
                return out.find("\r\n\r\n") != std::string::npos ||
                       (ec && ec != asio::error::would_block);
            });
        return out;
    }

private:
    void put_manifest()
    {
        using decision::gateway::request_kind;
        auto manifest = standins::fleet_platform::manifest_of(
            1, {{"/book/", request_kind::at_most_once, "plain", 1, false, {}},
                {"/read/", request_kind::idempotent, "plain", 2, false, {}}});
        manifest["limits"] = {{"maxHeaderBytes", max_header_bytes},
                              {"maxBodyBytes", max_body_bytes}};
        store_.put_manifest(std::move(manifest));
    }

    //! Runs the loop until the condition holds; gives up on what hangs.
    void run_until(std::function<bool()> const& condition)
    {
        auto const deadline = std::chrono::steady_clock::now() + 10s;
        while (!condition() && std::chrono::steady_clock::now() < deadline)
        {
            loop_.restart();
            loop_.run_one_for(5ms);
        }
    }

    void run_for(std::chrono::milliseconds time)
    {
        auto const deadline = std::chrono::steady_clock::now() + time;
        run_until([&] { return std::chrono::steady_clock::now() >= deadline; });
    }

    std::string const folder_;
    asio::io_context loop_;
    standins::fleet_platform::store_standin store_{loop_};
    std::vector<std::unique_ptr<crowd_client>> crowd_;
    std::size_t most_sockets_ = 0;

public:
    runner_standin runner{loop_, "plain-1"};
    std::unique_ptr<soak::gateway_vm> vm;
};

// Guards against clients that end the process, fill the memory of its VM or
// take all its descriptors, so that others are no longer served.
class misbehaving_clients : public testing::TestWithParam<target>
{
protected:
    void play(std::size_t clients, crowd_plan const& plan)
    {
        gateway.play(GetParam(), clients, plan);
        gateway.expect_unharmed();
    }

    std::string_view path() const { return GetParam().path; }

    //! The runner answers the next requests with large bodies.
    void enlarge_answers()
    {
        for (int n = 0; n < 4096; ++n)
            gateway.runner.script.emplace_back(
                [](received_request const& request) {
                    return runner_standin::proper(request,
                                                  std::string(500'000, 'x'));
                });
    }

    gateway_under_crowd gateway;
};

TEST_P(misbehaving_clients, stop_before_the_end_of_a_body_in_one_piece)
{
    crowd_plan plan;
    plan.text = shared(with_length(path(), max_body_bytes, max_body_bytes - 1));
    plan.piece_bytes = plan.text->size();
    play(small_crowd, plan);
}

TEST_P(misbehaving_clients, stop_before_the_end_of_a_body_in_small_pieces)
{
    crowd_plan plan;
    plan.text = shared(with_length(path(), max_body_bytes, max_body_bytes - 1));
    plan.piece_bytes = 2000;
    play(small_crowd, plan);
}

TEST_P(misbehaving_clients, stop_before_the_end_of_a_body_in_chunks)
{
    crowd_plan plan;
    plan.text = shared(without_last_chunk(path(), max_body_bytes));
    plan.piece_bytes = 10'050;
    play(small_crowd, plan);
}

TEST_P(misbehaving_clients, state_a_length_far_over_the_limit)
{
    crowd_plan plan;
    plan.text =
        shared(with_length(path(), 50 * max_body_bytes, 2 * max_body_bytes));
    play(small_crowd, plan);
}

TEST_P(misbehaving_clients, send_chunks_far_over_the_limit)
{
    crowd_plan plan;
    plan.text = shared(without_last_chunk(path(), 4 * max_body_bytes));
    play(small_crowd, plan);
}

TEST_P(misbehaving_clients, send_very_many_short_fields)
{
    crowd_plan plan;
    plan.text =
        shared(head_of(path()) + short_fields() + "Content-Length: 2\r\n\r\nb");
    play(large_crowd, plan);
}

TEST_P(misbehaving_clients, send_ahead_without_reading_answers)
{
    enlarge_answers();
    // The id is part of an answer.
    auto const request =
        start_of_request("GET", std::string(path()), std::string(2000, 'i')) +
        "X-Request-Deadline-Ms: 3000\r\nAuthorization: Bearer key\r\n\r\n";
    std::string text;
    while (text.size() < 2 * max_body_bytes)
        text += request;
    crowd_plan plan;
    plan.text = shared(text);
    play(small_crowd, plan);
}

TEST_P(misbehaving_clients, send_scrapes_ahead_without_reading_answers)
{
    std::string text;
    while (text.size() < 2 * max_body_bytes)
        text += "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n";
    crowd_plan plan;
    plan.text = shared(text);
    play(small_crowd, plan);
}

TEST_P(misbehaving_clients, send_a_head_very_slowly)
{
    crowd_plan plan;
    plan.text = shared(head_of(path()) + short_fields());
    plan.piece_bytes = 2;
    plan.write_pause = 10ms;
    play(large_crowd, plan);
}

TEST_P(misbehaving_clients, send_a_body_very_slowly)
{
    crowd_plan plan;
    plan.text = shared(with_length(path(), max_body_bytes, max_body_bytes));
    plan.piece_bytes = 200;
    plan.write_pause = 10ms;
    play(large_crowd, plan);
}

TEST_P(misbehaving_clients, read_their_answers_very_slowly)
{
    enlarge_answers();
    crowd_plan plan;
    plan.text = shared(with_length(path(), 1, 1));
    plan.read_bytes = 10;
    plan.read_pause = 10ms;
    play(large_crowd, plan);
}

TEST_P(misbehaving_clients, stop_half_way_in_a_head)
{
    crowd_plan plan;
    plan.text = shared("POST " + std::string(path()) + " HTTP/1.1\r\nHo");
    play(large_crowd, plan);
}

TEST_P(misbehaving_clients, send_nothing)
{
    play(large_crowd, {});
}

INSTANTIATE_TEST_SUITE_P(
    clients, misbehaving_clients,
    testing::Values(target{"route", &vm_settings::caller_port, "/read/x"},
                    target{"no_route", &vm_settings::caller_port, "/nowhere"},
                    target{"readiness", &vm_settings::readiness_port,
                           platform::readiness_path},
                    target{"peers", &vm_settings::peer_port,
                           gateway::peer::messages_path}),
    [](auto const& it) { return std::string(it.param.name); });

// Guards against a bound on crowds that refuses a request inside the limits.
class calm_clients : public testing::Test
{
protected:
    void expect_served(std::string const& request)
    {
        auto const answer =
            gateway.exchange(gateway.vm->caller_port(), request);
        EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 200") << answer;
        gateway.expect_unharmed();
    }

    gateway_under_crowd gateway;
};

TEST_F(calm_clients, are_served_with_the_largest_body)
{
    expect_served(with_length("/book/x", max_body_bytes, max_body_bytes));
}

TEST_F(calm_clients, are_served_with_the_largest_body_in_chunks)
{
    expect_served(without_last_chunk("/book/x", max_body_bytes) + "0\r\n\r\n");
}

TEST_F(calm_clients, are_served_with_very_many_short_fields)
{
    expect_served(head_of("/book/x") + short_fields() +
                  "Content-Length: 1\r\n\r\nb");
}

} // namespace
} // namespace buckthornvale::clients
