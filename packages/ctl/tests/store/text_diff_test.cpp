#include <buckthornvale/ctl/store/text_diff.hpp>

#include <gtest/gtest.h>

namespace buckthornvale::ctl
{
namespace
{

// Guards against a diff that hides a change or shows wrong line numbers.
TEST(unified_diff, has_hunks_with_context)
{
    std::string before;
    std::string after;
    for (int i = 1; i <= 20; ++i)
    {
        auto const line = std::to_string(i) + "\n";
        before += line;
        after += i == 2 ? "two\n" : i == 18 ? "" : line;
    }
    EXPECT_EQ(unified_diff(before, after, "a", "b"),
              "--- a\n+++ b\n@@ -1,5 +1,5 @@\n 1\n-2\n+two\n 3\n 4\n 5\n"
              "@@ -15,6 +15,5 @@\n 15\n 16\n 17\n-18\n 19\n 20\n");
}

TEST(unified_diff, of_new_removed_and_equal_texts)
{
    EXPECT_EQ(unified_diff("", "x\n", "a", "b"),
              "--- a\n+++ b\n@@ -0,0 +1,1 @@\n+x\n");
    EXPECT_EQ(unified_diff("x\n", "", "a", "b"),
              "--- a\n+++ b\n@@ -1,1 +0,0 @@\n-x\n");
    EXPECT_EQ(unified_diff("x\n", "x\n", "a", "b"), "");
}

// Guards against unbounded memory use for texts with many differing lines.
TEST(unified_diff, shows_large_differences_as_one_block)
{
    std::string before;
    std::string after;
    for (int i = 0; i < 5000; ++i)
    {
        before += "a" + std::to_string(i) + "\n";
        after += "b" + std::to_string(i) + "\n";
    }
    auto const diff = unified_diff(before, after, "a", "b");
    EXPECT_NE(diff.find("@@ -1,5000 +1,5000 @@"), std::string::npos);
}

} // namespace
} // namespace buckthornvale::ctl
