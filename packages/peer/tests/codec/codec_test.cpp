#include <buckthornvale/peer/codec/codec.hpp>

#include <gtest/gtest.h>
#include <pcg_random.hpp>

#include <vector>

namespace buckthornvale::peer
{
namespace
{

using namespace decision;

std::vector<message> one_of_each()
{
    fleet::summary_message summary;
    summary.load.pools = {{pool_id::of("gpu"), {1.5, 2., 0.}, {3., 0., .25}}};
    summary.load.organisations = {{organisation_id::of("moles"), 4., 2.}};
    summary.load.marks.emplace_back();
    summary.load.marks.back().content = {1, 2};
    config::settings_push push;
    push.up_to = push.revision = 9;
    push.objects = {{"settings/fleet", 9, false, "a = 1\n"},
                    {"settings/pools/x", 8, true, ""}};
    bookings::shard_update update;
    update.kind = bookings::update_kind::completed;
    update.result = bookings::make_result(std::string("\0\xff", 2));
    bookings::update_answer answer;
    answer.verdict = bookings::update_verdict::existing;
    answer.entry.state = bookings::claim_state::completed;
    answer.entry.result = update.result;
    decision::isolation::isolation_mark mark;
    mark.content = {5, 6};
    mark.state = decision::isolation::mark_state::isolated;
    mark.lifts = 1;
    mark.clears = 2;
    mark.crash_ids = {8, 9};
    mark.remaining = std::chrono::milliseconds(10);
    return {hello{vm_id::of("a"), 7},
            summary,
            ping{vm_id::of("b"), 1},
            ack{vm_id::of("b"), 1},
            config::revision_announcement{3, true},
            config::settings_pull{2},
            push,
            update,
            answer,
            mark,
            goodbye{}};
}

// Guards against a field that is written but not read back, or swapped.
TEST(codec, keeps_every_message_through_its_bytes)
{
    for (auto const& it : one_of_each())
    {
        auto const bytes = encode(it);
        auto const decoded = decode(bytes);
        ASSERT_TRUE(decoded.ok()) << decoded.status() << it.index();
        EXPECT_EQ(decoded->index(), it.index());
        EXPECT_EQ(encode(*decoded), bytes) << it.index();
    }
}

// Guards against a crash, and against half a message taken as a whole one.
TEST(codec, refuses_truncated_and_survives_damaged_messages)
{
    pcg32 random(1);
    for (auto const& it : one_of_each())
    {
        auto const bytes = encode(it);
        for (std::size_t n = 0; n < bytes.size(); ++n)
            EXPECT_FALSE(decode(bytes.substr(0, n)).ok());
        for (int n = 0; n < 300; ++n)
        {
            auto damaged = bytes;
            for (int i = 0; i < 3; ++i)
            {
                auto const at =
                    random(static_cast<std::uint32_t>(bytes.size()));
                damaged[at] = static_cast<char>(random(256));
            }
            (void)decode(damaged);
        }
    }
}

// Guards against a stack overflow in the recursive CBOR parser, and against
// memory that the sender's length field asks for.
TEST(codec, bounds_depth_and_sizes)
{
    EXPECT_TRUE(absl::IsResourceExhausted(
        decode(std::string(1000000, '\x81')).status()));
    EXPECT_TRUE(absl::IsResourceExhausted(
        decode(std::string(max_message_bytes + 1, '\x00')).status()));
    EXPECT_FALSE(decode("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff").ok());
    bookings::shard_update update;
    update.result.bytes.assign(bookings::max_result_bytes + 1, 'x');
    EXPECT_TRUE(absl::IsResourceExhausted(decode(encode(update)).status()));
    // Guards against a bound that a valid full push exceeds.
    config::settings_push push;
    push.objects.assign(max_push_objects, {"settings/x", 1, false, "y"});
    EXPECT_TRUE(decode(encode(push)).ok());
}

// Guards against a new message type that breaks links with older processes.
TEST(codec, tells_unknown_types_and_versions_from_damage)
{
    auto const type = [](std::string const& name, char version)
    {
        return std::string("\xa2\x61t") +
               static_cast<char>(0x60 + name.size()) + name + "\x61v" + version;
    };
    EXPECT_TRUE(absl::IsUnimplemented(decode(type("new", 1)).status()));
    EXPECT_TRUE(absl::IsUnimplemented(decode(type("ping", 2)).status()));
    EXPECT_TRUE(absl::IsInvalidArgument(decode(type("ping", 1)).status()));
}

} // namespace
} // namespace buckthornvale::peer
