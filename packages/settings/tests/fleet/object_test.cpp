#include <buckthornvale/settings/fleet/object.hpp>

#include <gtest/gtest.h>

#include <ostream>

namespace buckthornvale::settings
{
namespace
{

struct invalid_object
{
    char const* name;
    char const* path;
    char const* toml;
    problem_kind kind;
    std::uint32_t line;
    char const* key;
};

// Prints the case name. The default output of GoogleTest contains addresses,
// which differ from run to run.
std::ostream& operator<<(std::ostream& out, invalid_object const& it)
{
    return out << it.name;
}

invalid_object const invalid_objects[] = {
    {"broken_toml", "settings/pools/a", "kind = \n", //
     problem_kind::malformed_toml, 1, ""},
    {"unknown_path", "settings/people/a", "", problem_kind::unknown_path, 0,
     ""},
    {"path_escape", "settings/pools/..", "kind = 'engine'",
     problem_kind::unknown_path, 0, ""},
    {"unknown_key", "settings/pools/a", "kind = 'engine'\nsize = 3",
     problem_kind::unknown_key, 2, "size"},
    {"missing_key", "settings/pools/a", "models = []",
     problem_kind::missing_key, 1, "kind"},
    {"wrong_type", "settings/pools/a", "kind = 'engine'\nchecks_fencing = 1",
     problem_kind::wrong_type, 2, "checks_fencing"},
    {"string_for_number", "settings/fleet", "retry_share = '0.1'",
     problem_kind::wrong_type, 1, "retry_share"},
    {"out_of_range", "settings/fleet", "\nretry_share = 1.5",
     problem_kind::out_of_range, 2, "retry_share"},
    {"not_a_number", "settings/fleet", "retry_share = nan",
     problem_kind::out_of_range, 1, "retry_share"},
    {"windows_not_ascending", "settings/fleet", "burn_windows_s = [600, 300]",
     problem_kind::out_of_range, 1, "burn_windows_s"},
    {"short_digest", "settings/organisations/o/limits", "key_sha256 = 'ab'",
     problem_kind::out_of_range, 1, "key_sha256"},
    {"share_sum", "settings/ranks",
     "[urgent]\ntarget_ms=1\nguaranteed_share=0.6\n[standard]\ntarget_ms=1\n"
     "guaranteed_share=0.5\n[background]\ntarget_ms=1",
     problem_kind::share_sum, 1, "guaranteed_share"},
    {"rank_missing", "settings/ranks",
     "[urgent]\ntarget_ms=1\n[standard]\ntarget_ms=1",
     problem_kind::missing_key, 1, "background"},
    {"host_name", "settings/pools/a",
     "kind='engine'\n[[runners]]\nname='r'\nhost='example.org'\nport=1\n"
     "failure_domain='f'",
     problem_kind::out_of_range, 4, "runners[0].host"},
    {"duplicate_runner", "settings/pools/a",
     "kind='engine'\n"
     "[[runners]]\nname='r'\nhost='127.0.0.1'\nport=1\nfailure_domain='f'\n"
     "[[runners]]\nname='r'\nhost='127.0.0.1'\nport=2\nfailure_domain='f'",
     problem_kind::duplicate_name, 8, "runners[1].name"},
    {"service_with_models", "settings/pools/a", "kind='service'\nmodels=['m']",
     problem_kind::inconsistent, 2, "models"},
    {"no_stages", "settings/pipelines/p", "deadline_ms = 1",
     problem_kind::out_of_range, 0, "stages"},
    {"stages_not_tables", "settings/pipelines/p", "deadline_ms=1\nstages=[1]",
     problem_kind::wrong_type, 2, "stages"},
    {"unknown_after", "settings/pipelines/p",
     "deadline_ms=1\n[[stages]]\nname='a'\npool='x'\nafter=['b']",
     problem_kind::unknown_reference, 5, "stages[0].after"},
    {"cycle", "settings/pipelines/p",
     "deadline_ms=1\n[[stages]]\nname='a'\npool='x'\nafter=['b']\n"
     "[[stages]]\nname='b'\npool='x'\nafter=['a']",
     problem_kind::cycle, 5, "stages[0].after"},
    {"hedged_stage_not_repeatable", "settings/pipelines/p",
     "deadline_ms=1\n[[stages]]\nname='a'\npool='x'\nhedge=true\n"
     "repeatable=false",
     problem_kind::inconsistent, 5, "stages[0].hedge"},
};

class parse_object_rejections : public testing::TestWithParam<invalid_object>
{
};

// Guards against accepting an invalid object, and against a problem that does
// not tell the operator what to change and where.
TEST_P(parse_object_rejections, name_kind_line_key_and_remedy)
{
    auto const& it = GetParam();
    auto const result = parse_object(it.path, it.toml);
    EXPECT_FALSE(result.object);
    ASSERT_FALSE(result.problems.empty());
    auto const& found = result.problems.front();
    EXPECT_EQ(found.kind, it.kind) << to_text(found);
    EXPECT_EQ(found.path, it.path);
    EXPECT_EQ(found.line, it.line) << to_text(found);
    EXPECT_EQ(found.key, it.key);
    EXPECT_FALSE(found.remedy.empty());
}

INSTANTIATE_TEST_SUITE_P(table, parse_object_rejections,
                         testing::ValuesIn(invalid_objects),
                         [](auto const& it) { return it.param.name; });

// Guards against a validator that stops at the first mistake, so that an
// operator has to run it once per mistake.
TEST(parse_object, reports_all_problems_of_an_object)
{
    auto const result =
        parse_object("settings/fleet", "retry_share = 2\nfoo = 1\nbar = 2");
    EXPECT_EQ(result.problems.size(), 3U);
}

// Guards against stages that run before the stages that produce their inputs.
TEST(parse_object, orders_stages_topologically)
{
    auto const result = parse_object(
        "settings/pipelines/p",
        "deadline_ms=3000\n"
        "[[stages]]\nname='c'\npool='x'\nafter=['b', 'a']\nexpected_ms=0.3\n"
        "[[stages]]\nname='b'\npool='x'\nafter=['a']\n"
        "[[stages]]\nname='a'\npool='x'\n");
    ASSERT_TRUE(result.object);
    auto const& stages =
        std::get<decision::pipeline_settings>(result.object->value).stages;
    ASSERT_EQ(stages.size(), 3U);
    EXPECT_EQ(stages[0].name + stages[1].name + stages[2].name, "abc");
    EXPECT_EQ(stages[2].expected, std::chrono::microseconds(300));
}

// Guards against a table row whose key is stored in the wrong member.
TEST(parse_object, reads_every_key_of_a_pool)
{
    auto const result = parse_object(
        "settings/pools/generators",
        "kind='engine'\nchecks_fencing=true\nanswers_outcomes=true\n"
        "models=['m1','m2']\n[[runners]]\nname='g1'\nhost='10.0.0.1'\n"
        "port=9000\nfailure_domain='Hamilton'\nslots=8\nleaving=true\n");
    ASSERT_TRUE(result.object) << to_text(result.problems.front());
    auto const& pool = std::get<decision::pool_settings>(result.object->value);
    EXPECT_EQ(pool.name, "generators");
    EXPECT_TRUE(pool.checks_fencing);
    EXPECT_TRUE(pool.answers_outcomes);
    EXPECT_EQ(pool.models, (std::vector<std::string>{"m1", "m2"}));
    ASSERT_EQ(pool.runners.size(), 1U);
    auto const& runner = pool.runners.front();
    EXPECT_EQ(runner.name, "g1");
    EXPECT_EQ(runner.host, "10.0.0.1");
    EXPECT_EQ(runner.port, 9000);
    EXPECT_EQ(runner.failure_domain, "Hamilton");
    EXPECT_EQ(runner.slots, 8.);
    EXPECT_TRUE(runner.draining);
}

} // namespace
} // namespace buckthornvale::settings
