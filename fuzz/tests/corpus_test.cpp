#include "allocation_meter.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <ostream>
#include <string>
#include <targets/targets.hpp>
#include <vector>

namespace buckthornvale::fuzz
{
// GoogleTest finds this overload and prints the target's name when a test
// fails.
void PrintTo(target const& value, std::ostream* out)
{
    *out << value.name;
}

namespace
{

namespace files = std::filesystem;

// A parsed value needs more memory than its text: two bytes of JSON, a digit
// and a comma, become 16 bytes in a vector that doubles its capacity as it
// grows, and an empty TOML table becomes a node of several hundred bytes.
constexpr std::size_t memory_limit_per_byte = 256;
constexpr std::size_t base_memory_limit = std::size_t{256} * 1024;

std::vector<files::path> sample_paths(std::string_view target)
{
    std::vector<files::path> paths;
    auto const directory = files::path(BUCKTHORNVALE_CORPUS) / target;
    for (auto const& it : files::directory_iterator(directory))
        paths.push_back(it.path());
    std::sort(paths.begin(), paths.end());
    return paths;
}

std::string read_file(files::path const& path)
{
    std::ifstream in(path, std::ios::binary);
    EXPECT_TRUE(in) << path;
    return {std::istreambuf_iterator<char>(in), {}};
}

bool starts_with(std::string const& text, std::string_view prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

struct run_result
{
    bool accepted;
    std::size_t peak_bytes;
};

run_result run(target const& parser, std::string_view bytes)
{
    allocation_meter const meter;
    auto const accepted = parser.run(bytes);
    return {accepted, meter.peak()};
}

class corpus : public testing::TestWithParam<target>
{
};

// Guards against a parser that rejects valid input, accepts damaged input,
// crashes, or allocates as much memory as a length field in the input claims.
TEST_P(corpus, gives_the_verdict_in_its_name_within_bounded_memory)
{
    std::size_t valid = 0;
    std::size_t damaged = 0;
    for (auto const& path : sample_paths(GetParam().name))
    {
        SCOPED_TRACE(path);
        auto const name = path.filename().string();
        auto const bytes = read_file(path);
        auto const result = run(GetParam(), bytes);
        EXPECT_LE(result.peak_bytes,
                  base_memory_limit + memory_limit_per_byte * bytes.size());
        auto const is_valid = starts_with(name, "valid_");
        ASSERT_TRUE(is_valid || starts_with(name, "damaged_"));
        EXPECT_EQ(result.accepted, is_valid);
        ++(is_valid ? valid : damaged);
    }
    EXPECT_GT(valid, 0U);
    EXPECT_GT(damaged, 0U);
}

// Guards against a crash or a large allocation when a message is truncated or
// one of its bytes is corrupted.
TEST_P(corpus, survives_each_truncation_and_each_damaged_byte)
{
    // Limits the run time. Long samples repeat one pattern, so testing a few
    // positions is enough.
    constexpr std::size_t max_positions = 1024;
    constexpr std::size_t max_total_bytes = std::size_t{1} << 20U;
    for (auto const& path : sample_paths(GetParam().name))
    {
        SCOPED_TRACE(path);
        auto const bytes = read_file(path);
        auto const memory_limit =
            base_memory_limit + memory_limit_per_byte * bytes.size();
        auto const count = std::min({bytes.size(), max_positions,
                                     max_total_bytes / (bytes.size() + 1)});
        for (std::size_t i = 0; i < count; ++i)
        {
            EXPECT_LE(run(GetParam(), bytes.substr(0, i)).peak_bytes,
                      memory_limit);
            for (auto const byte : {'\x00', '\x7f', '\x9b', '\xff'})
            {
                auto changed = bytes;
                changed[i] = byte;
                EXPECT_LE(run(GetParam(), changed).peak_bytes, memory_limit);
            }
        }
    }
}

INSTANTIATE_TEST_SUITE_P(each_parser, corpus,
                         testing::ValuesIn(all_targets().begin(),
                                           all_targets().end()),
                         [](auto const& test_info)
                         { return std::string(test_info.param.name); });

} // namespace
} // namespace buckthornvale::fuzz
