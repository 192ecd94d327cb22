#include <buckthornvale/gateway/observe/log_writer.hpp>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <string>
#include <unistd.h>

namespace buckthornvale::gateway::observe
{
namespace
{

using namespace std::chrono_literals;

struct test_pipe
{
    test_pipe() { EXPECT_EQ(::pipe(ends), 0); }
    ~test_pipe()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }

    std::string read_some()
    {
        std::string out(1 << 16, '\0');
        auto const n = ::read(ends[0], out.data(), out.size());
        out.resize(n > 0 ? std::size_t(n) : 0);
        return out;
    }

    int ends[2] = {};
};

TEST(log_writer, escapes_values_from_callers)
{
    test_pipe pipe;
    log_writer log(pipe.ends[1], "vm-1");
    log.write({"request_refused", "id\"\n{", {{"reason", "a\\b"}}},
              decision::time_point(1s));
    log.flush();
    auto const line = pipe.read_some();
    EXPECT_EQ(std::count(line.begin(), line.end(), '\n'), 1);
    auto const value = nlohmann::json::parse(line);
    EXPECT_EQ(value["request"], "id\"\n{");
    EXPECT_EQ(value["reason"], "a\\b");
    EXPECT_EQ(value["vm"], "vm-1");
}

// Guards against names of other writers, of up to a megabyte, that fill the
// buffer, so that lines of others are dropped.
TEST(log_writer, shortens_long_values)
{
    test_pipe pipe;
    log_writer log(pipe.ends[1], "vm-1");
    std::string const long_value(1'000'000, '\xFF');
    log.write({"x", long_value, {{"runner", long_value}}},
              decision::time_point(1s));
    log.write({"y", "id", {}}, decision::time_point(1s));
    log.flush();
    auto const lines = pipe.read_some();
    EXPECT_LT(lines.size(), 16'384U);
    EXPECT_EQ(std::count(lines.begin(), lines.end(), '\n'), 2);
    auto const value = nlohmann::json::parse(lines.substr(0, lines.find('\n')),
                                             nullptr, false);
    ASSERT_TRUE(value.is_object());
    EXPECT_EQ(value["runner_bytes"], "1000000");
}

// Guards against a log buffer that grows without bound and against blocking on
// a slow reader.
TEST(log_writer, drops_lines_beyond_its_limits)
{
    test_pipe pipe;
    log_writer log(pipe.ends[1], "vm-1");
    for (int second = 0; second < 100; ++second)
    {
        for (int n = 0; n < 2000; ++n)
            log.write({"x", "id", {{"k", std::string(100, 'v')}}},
                      decision::time_point(std::chrono::seconds(second)));
        log.flush();
    }
    EXPECT_GT(log.dropped_lines(), 100'000U);
}

} // namespace
} // namespace buckthornvale::gateway::observe
