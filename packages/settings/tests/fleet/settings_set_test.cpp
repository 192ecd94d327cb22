#include <buckthornvale/settings/fleet/assemble.hpp>
#include <buckthornvale/settings/fleet/settings_set.hpp>

#include <gtest/gtest.h>
#include <pcg_random.hpp>

#include <algorithm>
#include <random>

namespace buckthornvale::settings
{
namespace
{

std::string const ranks = "[urgent]\ntarget_ms=500\n[standard]\n"
                          "target_ms=2000\n[background]\ntarget_ms=60000\n";
std::string const pool = "kind='engine'\nmodels=['m']\n[[runners]]\n"
                         "name='r1'\nhost='127.0.0.1'\nport=1\n"
                         "failure_domain='f'\n";
std::string const pipeline = "deadline_ms=3000\n[[stages]]\nname='a'\n"
                             "pool='x'\nmodel='m'\n";
std::string const organisation =
    "pipelines=['p']\nkey_sha256='" + std::string(64, 'a') + "'\n";

settings_set sample_settings()
{
    settings_set set;
    set.put("settings/ranks", 1, ranks);
    set.put("settings/pools/x", 2, pool);
    set.put("settings/pipelines/p", 3, pipeline);
    return set;
}

// Guards against an operator's mistake that disables working settings.
TEST(settings_set, keeps_the_valid_value_when_a_new_one_is_invalid)
{
    auto set = sample_settings();
    auto const result = set.put("settings/pools/x", 4, "kind='nothing'");
    EXPECT_TRUE(result.changed.empty());
    ASSERT_EQ(result.problems.size(), 1U);
    EXPECT_EQ(set.in_force().pools.at("x").runners.size(), 1U);
    EXPECT_EQ(set.in_force().revision, 3U);
    EXPECT_EQ(set.pending_problems().size(), 1U);

    set.put("settings/pools/x", 5, pool);
    EXPECT_TRUE(set.pending_problems().empty());
    EXPECT_EQ(set.in_force().revision, 5U);
}

// Guards against a delayed message from a peer that reverts a newer change.
TEST(settings_set, ignores_versions_that_are_not_newer)
{
    auto set = sample_settings();
    EXPECT_TRUE(set.put("settings/pools/x", 2, "kind='service'").is_stale);
    EXPECT_FALSE(set.erase("settings/pipelines/p", 6).is_stale);
    EXPECT_TRUE(set.put("settings/pipelines/p", 5, pipeline).is_stale);
    EXPECT_TRUE(set.in_force().pipelines.empty());
    EXPECT_EQ(set.in_force().revision, 6U);
}

// Guards against settings that depend on the order in which a VM receives the
// objects.
TEST(settings_set, applies_a_pending_object_when_its_reference_arrives)
{
    settings_set set;
    set.put("settings/organisations/o/limits", 5, organisation);
    set.put("settings/pipelines/p", 3, pipeline);
    EXPECT_TRUE(set.in_force().pipelines.empty());
    auto const result = set.put("settings/pools/x", 2, pool);
    EXPECT_EQ(result.changed.size(), 3U);
    EXPECT_EQ(set.in_force().organisations.size(), 1U);
    EXPECT_EQ(set.in_force().revision, 5U);
}

// Guards against the removal of a pool that a pipeline still routes to.
TEST(settings_set, removes_a_referenced_object_only_after_the_last_reference)
{
    auto set = sample_settings();
    auto const rejected = set.erase("settings/pools/x", 4);
    ASSERT_EQ(rejected.problems.size(), 1U);
    EXPECT_EQ(rejected.problems[0].kind, problem_kind::still_referenced);
    EXPECT_EQ(set.in_force().pools.size(), 1U);
    EXPECT_EQ(set.erase("settings/pipelines/p", 5).changed.size(), 2U);
    EXPECT_TRUE(set.in_force().pools.empty());
}

// Guards against a pool change that removes a model which a stage needs.
TEST(settings_set, rejects_a_pool_without_a_model_that_a_stage_names)
{
    auto set = sample_settings();
    auto const result =
        set.put("settings/pools/x", 4, "kind='engine'\nmodels=['other']");
    ASSERT_EQ(result.problems.size(), 1U);
    EXPECT_EQ(result.problems[0].kind, problem_kind::still_referenced);
    EXPECT_EQ(set.in_force().pools.at("x").models[0], "m");
}

// Guards against two objects or runners with the same id, whose state would be
// mixed up.
TEST(settings_set, rejects_colliding_ids_and_duplicate_names)
{
    settings_set set([](std::string_view text) -> std::uint64_t
                     { return text.size(); });
    set.put("settings/pools/x", 1, pool);
    auto const same_hash = set.put("settings/pools/y", 2, "kind='engine'");
    ASSERT_EQ(same_hash.problems.size(), 1U);
    EXPECT_EQ(same_hash.problems[0].kind, problem_kind::hash_collision);
    auto const same_runner = set.put("settings/pools/longer", 3, pool);
    ASSERT_EQ(same_runner.problems.size(), 1U);
    EXPECT_EQ(same_runner.problems[0].kind, problem_kind::duplicate_name);
    // The runner moves to the other pool once the first pool no longer lists
    // it.
    auto const moved = set.put("settings/pools/x", 4, "kind='engine'");
    EXPECT_EQ(moved.changed.size(), 2U);
}

// Guards against objects that stay in force because their deletion was missed.
TEST(settings_set, replaces_all_and_removes_what_is_not_listed)
{
    auto set = sample_settings();
    std::vector<object_text> const listed = {
        {"settings/ranks", 1, ranks},
        {"settings/pools/z", 8, "kind='service'"}};
    auto const result = set.replace_all(listed, 9);
    EXPECT_TRUE(result.problems.empty());
    EXPECT_EQ(result.changed.size(), 3U);
    EXPECT_EQ(set.in_force().pools.size(), 1U);
    EXPECT_TRUE(set.in_force().pipelines.empty());
    EXPECT_TRUE(set.is_complete());
    EXPECT_EQ(set.in_force().revision, 9U);
}

// Guards against VMs whose settings differ because the store, the watch and the
// peers deliver the same changes reordered, repeated or late.
TEST(settings_set, reaches_the_same_state_in_any_order)
{
    struct step
    {
        char const* path;
        std::uint64_t version;
        std::string const* value; // null: removal
    };
    std::string const service_pool = "kind='service'\n[[runners]]\nname='r1'\n"
                                     "host='127.0.0.1'\nport=1\n"
                                     "failure_domain='f'\n";
    std::string const empty_pool = "kind='engine'";
    // The runner r1 moves from pool x to pool y; pipeline q and pool z are
    // created and removed.
    std::vector<step> steps = {
        {"settings/ranks", 1, &ranks},
        {"settings/pools/x", 2, &pool},
        {"settings/pipelines/p", 3, &pipeline},
        {"settings/organisations/o/limits", 4, &organisation},
        {"settings/pipelines/q", 5, &pipeline},
        {"settings/pools/x", 6, &empty_pool},
        {"settings/pools/y", 7, &service_pool},
        {"settings/pipelines/q", 8, nullptr},
        {"settings/pools/z", 9, &empty_pool},
        {"settings/pools/z", 10, nullptr},
    };
    steps.insert(steps.end(), steps.begin(), steps.end());
    for (std::uint64_t seed = 0; seed < 500; ++seed)
    {
        pcg32 random(seed);
        std::shuffle(steps.begin(), steps.end(), random);
        settings_set set;
        std::uint64_t revision = 0;
        for (auto const& it : steps)
        {
            if (it.value)
                set.put(it.path, it.version, *it.value);
            else
                set.erase(it.path, it.version);
            EXPECT_GE(set.in_force().revision, revision);
            revision = set.in_force().revision;
        }
        auto const& settings = set.in_force();
        EXPECT_TRUE(set.pending_problems().empty()) << "seed " << seed;
        EXPECT_EQ(settings.pools.size(), 2U) << "seed " << seed;
        EXPECT_TRUE(settings.pools.at("x").runners.empty());
        EXPECT_EQ(settings.pools.at("y").runners.size(), 1U);
        EXPECT_EQ(settings.pipelines.size(), 1U) << "seed " << seed;
        EXPECT_EQ(settings.organisations.size(), 1U);
        EXPECT_EQ(settings.revision, 10U) << "seed " << seed;
    }
}

// Guards against an operator's check that accepts other settings than the
// daemons do.
TEST(assemble, reports_dangling_references_and_missing_ranks)
{
    std::vector<object_text> const files = {
        {"settings/pipelines/p", 0, pipeline}};
    auto const result = assemble(files);
    EXPECT_FALSE(result.settings);
    ASSERT_EQ(result.problems.size(), 1U);
    EXPECT_EQ(result.problems[0].kind, problem_kind::unknown_reference);
    EXPECT_EQ(result.problems[0].line, 4U);

    auto const empty = assemble({});
    ASSERT_EQ(empty.problems.size(), 1U);
    EXPECT_EQ(empty.problems[0].kind, problem_kind::missing_object);

    std::vector<object_text> const complete = {
        {"settings/pipelines/p", 0, pipeline},
        {"settings/pools/x", 0, pool},
        {"settings/ranks", 0, ranks}};
    EXPECT_TRUE(assemble(complete).settings);
}

} // namespace
} // namespace buckthornvale::settings
