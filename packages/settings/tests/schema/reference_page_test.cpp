#include <buckthornvale/settings/schema/problem.hpp>
#include <buckthornvale/settings/schema/reference_page.hpp>

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace buckthornvale::settings
{
namespace
{

// Guards against a reference page that documents other keys than the parser
// accepts.
TEST(reference_page, is_current)
{
    std::ifstream file(BUCKTHORNVALE_DOCS "/settings.md");
    std::ostringstream page;
    page << file.rdbuf();
    EXPECT_EQ(page.str(), reference_page())
        << "run `buckthornvalectl reference > docs/settings.md`";
}

// Guards against a problem kind whose table entry is missing or at the wrong
// index.
TEST(problem_table, lists_every_kind_with_a_remedy)
{
    auto const table = all_problem_traits();
    ASSERT_EQ(table.size(),
              static_cast<std::size_t>(problem_kind::missing_object) + 1);
    for (std::size_t i = 0; i < table.size(); ++i)
    {
        EXPECT_EQ(static_cast<std::size_t>(table[i].kind), i);
        EXPECT_FALSE(table[i].remedy.empty());
    }
}

} // namespace
} // namespace buckthornvale::settings
