#include <buckthornvale/gateway/peer/peer_codec.hpp>

#include <gtest/gtest.h>

namespace buckthornvale::gateway::peer
{
namespace
{

namespace model = decision::gateway;
using namespace std::chrono_literals;

model::backlog backlog_of_one_service()
{
    model::backlog out;
    out.service = "s";
    out.waits.without_queue = 1ms;
    out.waits.classes = {{{false, 1, 2}, {{0s, 1s, 2s, 3s, 4s, 5s}}, 6s}};
    out.average_call_time = 300ms;
    out.result_memory_share = 0.5;
    return out;
}

constexpr model::crash_suspect part_suspect = {model::suspect_kind::prompt_part,
                                               18446744073709551615U, 5};
constexpr model::crash_suspect key_suspect = {model::suspect_kind::key, 7, 8};

envelope full_envelope()
{
    model::piece piece;
    piece.request = 7;
    piece.request_id = "id-1";
    piece.service = "s";
    piece.inputs = {"a/1", "b/2"};
    piece.domain = "north";
    piece.priority = {true, 2, 1};
    piece.due_in = -5ms;
    piece.latest_start_in = 2s;
    piece.time_left = 3s;
    model::piece_result result;
    result.service = "s";
    result.request = 7;
    result.outcome = model::piece_outcome::inputs_read;
    result.handle = "a/1";
    envelope out;
    out.member = "vm-1";
    out.incarnation = 18446744073709551615U;
    out.messages = {
        model::submit_pieces{{piece}},
        model::return_results{{result}, {backlog_of_one_service()}},
        model::release_results{"s", {"a/1"}},
        model::cancel_pieces{{1, 2}},
        model::report_crash{99, true},
        model::report_lost_run{"s", "r", true, {part_suspect}},
        model::report_unreachable_runner{"s", "r"},
        model::accuse_suspects{{{key_suspect, 3s, 1s}}},
        model::report_answered{{part_suspect, key_suspect}},
        model::block_suspects{{{part_suspect, 2s, 0s}}},
        model::share_crash_records{{{18446744073709551615U, 3, 4s}}},
        model::report_rate_limit{"r", 1796540000000, {}},
        model::report_rate_limit{"r", 1, 2.9},
    };
    return out;
}

TEST(peer_codec, messages_round_trip)
{
    auto const out = decode_envelope(encode_envelope(full_envelope()));
    ASSERT_TRUE(out);
    EXPECT_EQ(out->member, "vm-1");
    EXPECT_EQ(out->incarnation, 18446744073709551615U);
    ASSERT_EQ(out->messages.size(), 13U);
    auto const& piece =
        std::get<model::submit_pieces>(out->messages[0]).pieces.at(0);
    EXPECT_EQ(piece.inputs.size(), 2U);
    EXPECT_EQ(piece.due_in, -5ms);
    EXPECT_EQ(piece.domain, "north");
    auto const& results = std::get<model::return_results>(out->messages[1]);
    EXPECT_EQ(results.results.at(0).outcome, model::piece_outcome::inputs_read);
    EXPECT_EQ(results.backlogs.at(0).waits.at({false, 1, 2}, 300ms), 2s);
    EXPECT_EQ(results.backlogs.at(0).waits.at({false, 2, 0}, 300ms), 6s);
    EXPECT_EQ(results.backlogs.at(0).average_call_time, 300ms);
    EXPECT_EQ(piece.latest_start_in, 2s);
    EXPECT_TRUE(std::get<model::report_crash>(out->messages[4]).cleared);
}

TEST(peer_codec, messages_about_crashes_round_trip)
{
    auto const out = decode_envelope(encode_envelope(full_envelope()));
    ASSERT_TRUE(out);
    ASSERT_EQ(out->messages.size(), 13U);
    auto const& lost = std::get<model::report_lost_run>(out->messages[5]);
    EXPECT_EQ(lost.runner_id, "r");
    EXPECT_TRUE(lost.answer_begun);
    EXPECT_TRUE(lost.suspects.at(0) == part_suspect);
    auto const& unreachable =
        std::get<model::report_unreachable_runner>(out->messages[6]);
    EXPECT_EQ(unreachable.service, "s");
    auto const& accused = std::get<model::accuse_suspects>(out->messages[7]);
    EXPECT_TRUE(accused.verdicts.at(0).suspect == key_suspect);
    EXPECT_EQ(accused.verdicts.at(0).first_crash_age, 3s);
    auto const& answered = std::get<model::report_answered>(out->messages[8]);
    EXPECT_EQ(answered.suspects.size(), 2U);
    auto const& ended = std::get<model::report_rate_limit>(out->messages[11]);
    EXPECT_EQ(ended.runner_id, "r");
    EXPECT_EQ(ended.started_at_ms, 1796540000000);
    EXPECT_FALSE(ended.per_s);
    EXPECT_EQ(std::get<model::report_rate_limit>(out->messages[12]).per_s, 2.9);
    auto const& blocked = std::get<model::block_suspects>(out->messages[9]);
    EXPECT_TRUE(blocked.verdicts.at(0).suspect == part_suspect);
    auto const& shared =
        std::get<model::share_crash_records>(out->messages[10]).records.at(0);
    EXPECT_EQ(shared.fingerprint, 18446744073709551615U);
    EXPECT_EQ(shared.crashes, 3U);
    EXPECT_EQ(shared.last_crash_age, 4s);
}

// Guards against a crash on truncated or corrupted bytes.
TEST(peer_codec, rejects_malformed_envelopes)
{
    auto const encoded = encode_envelope(full_envelope());
    for (std::size_t n = 0; n < encoded.size(); ++n)
        EXPECT_FALSE(decode_envelope(encoded.substr(0, n))) << n;
    for (std::size_t n = 0; n < encoded.size(); ++n)
    {
        auto changed = encoded;
        changed[n] = static_cast<char>(changed[n] ^ 0x55);
        static_cast<void>(decode_envelope(changed));
    }
    EXPECT_FALSE(decode_envelope("text"));
}

} // namespace
} // namespace buckthornvale::gateway::peer
