#include <buckthornvale/decision/bookings/booking_table.hpp>

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace buckthornvale::decision::bookings
{
namespace
{

using std::chrono::hours;
using std::chrono::milliseconds;

template <class Effect>
std::vector<Effect> effects_of(booking_effects const& out)
{
    std::vector<Effect> found;
    for (auto const& it : out)
    {
        if (auto const* effect = std::get_if<Effect>(&it))
            found.push_back(*effect);
    }
    return found;
}

class booking_table_test : public ::testing::Test
{
protected:
    static booking_settings settings()
    {
        booking_settings settings;
        settings.self = vm_id{1};
        settings.incarnation = 7;
        settings.shards = 1;
        settings.writes_per_second = 1000.;
        return settings;
    }

    claim_request request(int key)
    {
        return {{organisation_id{1}, std::to_string(key), wall},
                digest128::of("body"),
                {7, ++requests},
                milliseconds(3000),
                false};
    }
    void claim(claim_request const& value)
    {
        out.clear();
        table.claim(value, now, wall, out);
    }
    void advance(milliseconds step)
    {
        now += step;
        wall += step;
        out.clear();
        table.tick(now, wall, out);
    }
    void answer(store_token token, store_status status,
                std::uint64_t version = 0, std::string value = {})
    {
        out.clear();
        table.store_answer({token, status, version, std::move(value)}, now,
                           wall, out);
    }
    // Makes claims, answers the read, and returns the write that contains the
    // claims.
    write_object write_of(int first, int count)
    {
        booking_effects reads;
        for (int i = 0; i < count; ++i)
            table.claim(request(first + i), now, wall, reads);
        advance(milliseconds(10));
        reads.insert(reads.end(), out.begin(), out.end());
        answer(effects_of<read_object>(reads).at(0).token,
               store_status::absent);
        return effects_of<write_object>(out).at(0);
    }

    time_point now{hours(1)};
    wall_time wall{hours(480000)};
    std::uint64_t requests = 0;
    booking_table table{settings(), 1};
    booking_effects out;
};

// Guards against one write per claim, a rate that the store does not sustain.
TEST_F(booking_table_test, commits_many_claims_in_one_write)
{
    auto const write = write_of(0, 50);
    answer(write.token, store_status::ok, 1);
    EXPECT_EQ(effects_of<claim_granted>(out).size(), 50U);
    EXPECT_EQ(table.store_counters().writes, 1U);
}

// Guards against a claim that is reported as not run, or made twice, although
// the store wrote it and only the answer was lost.
TEST_F(booking_table_test, settles_a_lost_answer_by_reading_back)
{
    auto const write = write_of(0, 1);
    answer(write.token, store_status::unknown);
    EXPECT_TRUE(effects_of<claim_unavailable>(out).empty());
    answer(effects_of<read_object>(out).at(0).token, store_status::ok, 5,
           write.value);
    EXPECT_EQ(effects_of<claim_granted>(out).size(), 1U);
}

// Guards against 'not run' for a claim that a write still in transit may make:
// an unchanged version proves nothing.
TEST_F(booking_table_test, does_not_report_an_unsettled_claim_as_unavailable)
{
    auto write = write_of(0, 1);
    answer(write.token, store_status::unknown);
    answer(effects_of<read_object>(out).at(0).token, store_status::absent);
    advance(milliseconds(100));
    // The second write is conditional on the same version as the first.
    write = effects_of<write_object>(out).at(0);
    EXPECT_EQ(write.expected_version, 0U);
    answer(write.token, store_status::unavailable);
    EXPECT_TRUE(effects_of<claim_unavailable>(out).empty());
    advance(milliseconds(3000));
    EXPECT_EQ(effects_of<claim_unsettled>(out).size(), 1U);
    // The claim left by the first write is removed, because it will not run.
    answer(effects_of<read_object>(out).at(0).token, store_status::ok, 9,
           write.value);
    EXPECT_EQ(effects_of<write_object>(out).at(0).value,
              R"({"claims":{},"v":1})");
}

// Guards against a write of unknown outcome that takes effect after the claim
// was given up: another write must change the version first.
TEST_F(booking_table_test, moves_the_version_before_it_gives_up_a_write)
{
    auto const write = write_of(0, 1);
    answer(write.token, store_status::unknown);
    auto const read = effects_of<read_object>(out).at(0);
    advance(milliseconds(3001));
    EXPECT_EQ(effects_of<claim_unsettled>(out).size(), 1U);
    answer(read.token, store_status::absent);
    auto const fence = effects_of<write_object>(out).at(0);
    EXPECT_EQ(fence.expected_version, write.expected_version);
}

// Guards against treating a corrupt shard as empty, which would run its
// bookings again.
TEST_F(booking_table_test, refuses_claims_on_a_corrupt_shard)
{
    auto const good = write_of(0, 2).value;
    std::vector<std::string> values = {
        "", "{}", "[]", "null", good + "x", good.substr(0, good.size() - 1)};
    for (std::size_t at = 0; at < good.size(); at += 7)
        values.push_back(good.substr(0, at) + "\x01" + good.substr(at + 1));
    for (auto const& it : values)
    {
        booking_table fresh(settings(), 1);
        out.clear();
        fresh.claim(request(5), now, wall, out);
        now += milliseconds(10);
        fresh.tick(now, wall, out);
        auto const token = effects_of<read_object>(out).at(0).token;
        out.clear();
        fresh.store_answer({token, store_status::ok, 3, it}, now, wall, out);
        EXPECT_EQ(effects_of<claim_unavailable>(out).size(), 1U) << it;
        EXPECT_TRUE(effects_of<write_object>(out).empty()) << it;
    }
    EXPECT_TRUE(shard_document::decode(good).ok());
}

// Guards against bookings that wait for an unavailable store.
TEST_F(booking_table_test, answers_unavailable_in_an_outage)
{
    claim(request(0));
    advance(milliseconds(10));
    answer(effects_of<read_object>(out).at(0).token, store_status::unavailable);
    ASSERT_EQ(effects_of<claim_unavailable>(out).size(), 1U);
    EXPECT_GT(effects_of<claim_unavailable>(out)[0].retry_after, duration{});
    EXPECT_EQ(table.records(), 0U);
}

// Guards against a second run for another body or time of issue under one key.
TEST_F(booking_table_test, refuses_a_key_with_another_body_or_old_time)
{
    auto first = request(0);
    claim(first);
    auto second = first;
    second.request = {7, 99};
    second.body = digest128::of("other");
    claim(second);
    EXPECT_EQ(effects_of<claim_refused>(out).at(0).reason.kind,
              error_kind::key_reused);
    second.key.issued_at = wall - hours(25);
    claim(second);
    EXPECT_EQ(effects_of<claim_refused>(out).at(0).reason.kind,
              error_kind::key_expired);
    second.key.issued_at = wall + hours(1);
    claim(second);
    EXPECT_EQ(effects_of<claim_refused>(out).at(0).reason.kind,
              error_kind::key_expired);
}

// Guards against a caller that waits for a committer that no longer exists.
TEST_F(booking_table_test, commits_itself_when_the_committer_does_not_answer)
{
    live_vm const other{vm_id{2}, 5};
    table.set_live_vms({&other, 1});
    claim(request(0));
    ASSERT_EQ(effects_of<forward_update>(out).size(), 1U);
    claim(request(1));
    out.clear();
    table.peer_unreachable(vm_id{2}, now, wall, out);
    advance(milliseconds(10));
    EXPECT_EQ(effects_of<read_object>(out).size(), 1U);
}

// Guards against reporting a result as written because the committer's cached
// shard, older than the claim, lacks the claim: the claim would be run again.
TEST_F(booking_table_test, does_not_trust_a_cached_shard_for_a_missing_claim)
{
    auto const write = write_of(0, 1);
    answer(write.token, store_status::ok, 1);
    auto const mine = request(5);
    shard_update update;
    update.kind = update_kind::completed;
    update.id = id_of(mine.key);
    update.shard.window =
        static_cast<std::uint64_t>(wall.time_since_epoch() / settings().window);
    update.nonce = 77;
    out.clear();
    table.handle_forwarded_update(vm_id{2}, update, now, wall, out);
    booking_effects seen = out;
    for (int i = 0; i < 3; ++i)
    {
        advance(milliseconds(500));
        seen.insert(seen.end(), out.begin(), out.end());
    }
    EXPECT_TRUE(effects_of<answer_peer>(seen).empty());
    ASSERT_EQ(effects_of<write_object>(seen).size(), 1U);
    answer(effects_of<write_object>(seen)[0].token, store_status::ok, 2);
    EXPECT_EQ(effects_of<answer_peer>(out).size(), 1U);
}

// Guards against memory that grows with the number of callers or the size of
// results.
TEST_F(booking_table_test, bounds_records_and_results)
{
    auto bounded = settings();
    bounded.max_records = 1;
    booking_table small(bounded, 1);
    small.claim(request(0), now, wall, out);
    small.claim(request(1), now, wall, out);
    EXPECT_EQ(effects_of<claim_refused>(out).at(0).reason.kind,
              error_kind::overloaded);
    auto const large = make_result(std::string(max_result_bytes + 1, 'x'));
    EXPECT_TRUE(large.truncated && large.bytes.empty());
    EXPECT_EQ(large.size, max_result_bytes + 1);
}

// Guards against deleting a window whose keys are still accepted, and against
// windows that are never deleted.
TEST_F(booking_table_test, deletes_only_windows_beyond_the_margin)
{
    live_vm const self{vm_id{1}, 7};
    table.set_live_vms({&self, 1});
    auto const edge = (wall - hours(25)).time_since_epoch();
    auto const last = static_cast<std::uint64_t>(edge / settings().window) - 1;
    std::string deleted;
    for (int i = 0; i < 400; ++i)
    {
        now += milliseconds(500);
        out.clear();
        table.tick(now, wall, out);
        for (auto const& it : effects_of<read_object>(out))
        {
            answer(it.token, store_status::ok, 3, "damaged too");
            auto const erase = effects_of<delete_object>(out).at(0);
            EXPECT_EQ(erase.expected_version, 3U);
            deleted = erase.path;
            answer(erase.token, store_status::ok, 4);
            break;
        }
    }
    EXPECT_EQ(deleted, path_of({last, 0}));
}

} // namespace
} // namespace buckthornvale::decision::bookings
