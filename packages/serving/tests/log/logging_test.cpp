#include <buckthornvale/serving/log/logging.hpp>

#include <gtest/gtest.h>

namespace buckthornvale::serving::log
{
namespace
{

// Guards against text from a caller that looks like a line of its own.
TEST(logging, writes_one_line_per_event)
{
    ASSERT_TRUE(start_logging("warning"));
    testing::internal::CaptureStderr();
    write_log(level::info, "not written");
    write_log(level::error, "first\nERROR forged");
    auto const text = testing::internal::GetCapturedStderr();
    EXPECT_NE(text.find("ERROR first\\x0aERROR forged\n"), std::string::npos)
        << text;
    EXPECT_EQ(text.find("not written"), std::string::npos);
}

// Guards against a misspelt level that silences the log.
TEST(logging, refuses_an_unknown_level)
{
    EXPECT_FALSE(start_logging("verbose"));
}

} // namespace
} // namespace buckthornvale::serving::log
