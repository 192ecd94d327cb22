#include "ctl_fixture.hpp"

namespace buckthornvale::ctl
{
namespace
{

struct apply_test : ctl_test
{
    apply_test()
    {
        for (auto const& [name, text] : sample_settings)
            write(name, text);
    }

    std::string const price = "settings/pipelines/price";
};

// Guards against unintended changes in the output of a typical session, which
// operators and scripts rely on.
TEST_F(apply_test, session_matches_the_golden_file)
{
    std::string text;
    auto const run_step = [&](std::vector<std::string> const& words)
    {
        auto const code = run(words);
        for (auto const& it : words)
            text += (it == words.front() ? "$ " : " ") + it;
        text += "\n" + take_output() + "--- exit " +
                std::to_string(static_cast<int>(code)) + "\n\n";
        for (auto at = text.find(folder.string()); at != std::string::npos;
             at = text.find(folder.string()))
            text.replace(at, folder.string().size(), "DIR");
    };
    run_step({"validate", folder.string()});
    run_step({"diff", folder.string()});
    run_step({"apply", folder.string()});
    run_step({"apply", folder.string()});
    run_step({"get", price});
    write("settings/pipelines/price.toml",
          "# version 5\ndeadline_ms = 2500\n[[stages]]\nname = \"lookup\"\n"
          "pool = \"lookup\"\n");
    auto const stored = objects.get(price);
    objects.put(price, stored->version,
                "deadline_ms = 2000\n" + stored->value.substr(19));
    run_step({"apply", folder.string()});
    run_step({"history", price});
    write("settings/pipelines/price.toml",
          "# version 2\n" + sample_settings.at(price + ".toml"));
    run_step({"apply", folder.string()});
    write("settings/pools/lookup.toml", "kind = \"engine\"\nmodel = 3\n");
    run_step({"validate", folder.string()});
    expect_golden("apply_session.txt", text);
}

// Guards against overwriting a concurrent change that was made between the
// command's read and its write.
TEST_F(apply_test, reports_a_racing_change_and_keeps_it)
{
    ASSERT_EQ(run({"apply", folder.string()}), exit_code::success);
    auto const version = objects.get(price)->version;
    auto const file = write("edit/settings/pipelines/price.toml",
                            "# version " + std::to_string(version) +
                                "\ndeadline_ms = 1\n[[stages]]\n"
                                "name = \"lookup\"\npool = \"lookup\"\n");
    auto const other = sample_settings.at(price + ".toml") + "# other\n";
    objects.put(price, version, other);
    take_output();
    EXPECT_EQ(run({"apply", file}), exit_code::conflict);
    EXPECT_EQ(value(price), other);
    EXPECT_NE(take_output().find("+# other"), std::string::npos);
}

// Guards against a write that is reported as failed or repeated although only
// its response was lost.
TEST_F(apply_test, settles_a_lost_response_by_reading_back)
{
    gate.set_lost_answers(1);
    EXPECT_EQ(run({"apply", folder.string()}), exit_code::success);
    EXPECT_FALSE(value("settings/ranks").empty());
    EXPECT_EQ(gate.counts().lost_answers, 1U);
}

// Guards against a command that reports success during an outage of the store.
TEST_F(apply_test, reports_an_unavailable_store)
{
    gate.set_outage(true);
    EXPECT_EQ(run({"apply", folder.string()}), exit_code::unavailable);
    gate.set_outage(false);
    gate.set_budget({0., 1e-6});
    EXPECT_EQ(run({"apply", folder.string()}), exit_code::unavailable);
    EXPECT_EQ(objects.revision(), 0U);
}

// Guards against removals in an order that leaves dangling references, which
// VMs reject.
TEST_F(apply_test, prunes_referring_objects_first)
{
    run({"apply", folder.string()});
    std::filesystem::remove(folder / "settings/pools/lookup.toml");
    flags.prunes = true;
    EXPECT_EQ(run({"apply", folder.string()}), exit_code::invalid);
    std::filesystem::remove(folder / "settings/pipelines/price.toml");
    EXPECT_EQ(run({"apply", folder.string()}), exit_code::success);
    EXPECT_TRUE(value("settings/pools/lookup").empty());
    EXPECT_NE(take_output().find("removed settings/pipelines/price"),
              std::string::npos);
}

// Guards against a history that grows without bound, and against an earlier
// value that cannot be restored.
TEST_F(apply_test, keeps_a_bounded_history_to_go_back_to)
{
    std::string const fleet = "settings/fleet";
    for (int i = 1; i <= 30; ++i)
    {
        auto const file = write("settings/fleet.toml",
                                "retry_burst = " + std::to_string(i) + "\n");
        ASSERT_EQ(run({"apply", folder.string()}), exit_code::success);
    }
    take_output();
    ASSERT_EQ(run({"history", fleet}), exit_code::success);
    auto const text = out.str();
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 20);
    // Versions are listed newest first.
    auto const last_line = text.rfind('\n', text.size() - 2) + 1;
    auto const oldest =
        text.substr(last_line, text.find(' ', last_line) - last_line);
    take_output();
    ASSERT_EQ(run({"history", fleet, oldest}), exit_code::success);
    auto const file = write("back/settings/fleet.toml", out.str());
    EXPECT_EQ(run({"apply", file}), exit_code::success);
    EXPECT_EQ(value(fleet), "retry_burst = 11\n");
    EXPECT_EQ(run({"history", fleet, "1"}), exit_code::not_found);
}

// Guards against an invalid UTF-8 file that ends the command without a message.
TEST_F(apply_test, reports_a_file_that_is_not_utf8)
{
    write("settings/fleet.toml", "retry_burst = 1 # \xE9\n");
    flags.is_json = true;
    EXPECT_EQ(run({"validate", folder.string()}), exit_code::invalid);
    EXPECT_EQ(run({"diff", folder.string()}), exit_code::differs);
    EXPECT_EQ(run({"apply", folder.string()}), exit_code::invalid);
    EXPECT_NE(take_output().find("malformed_toml"), std::string::npos);
}

// Guards against an invalid object in the store that blocks unrelated changes.
TEST_F(apply_test, is_not_stopped_by_problems_that_were_there_before)
{
    objects.put("settings/pools/broken", 0, "kind = ");
    EXPECT_EQ(run({"apply", folder.string()}), exit_code::success);
}

} // namespace
} // namespace buckthornvale::ctl
