#include <buckthornvale/gateway/store/member_list.hpp>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace buckthornvale::gateway::store
{
namespace
{

using namespace std::chrono_literals;

decision::time_point const start{100s};

platform::stored_object make_object(std::string const& name,
                                    std::uint64_t revision)
{
    platform::stored_object out;
    out.name = name;
    out.revision = revision;
    out.content = std::make_shared<nlohmann::json const>(
        nlohmann::json{{"address", "10.0.0.1:7740"}, {"incarnation", "7"}});
    return out;
}

object_update make_list(std::vector<platform::stored_object> objects,
                        bool restored)
{
    object_update out;
    out.objects = std::move(objects);
    out.listed = true;
    out.restored = restored;
    return out;
}

decision::gateway::member make_member(std::string name)
{
    decision::gateway::member out;
    out.name = std::move(name);
    out.incarnation = 7;
    return out;
}

struct two_members
{
    two_members()
    {
        list.apply(
            make_list({make_object("a", 10), make_object("b", 11)}, false),
            start);
    }

    member_list list;
};

// VMs that had registered after the copy was made were missing for a moment in
// the list by which all VMs decide who owns what.
TEST(member_list, keeps_vms_that_a_restored_store_has_lost)
{
    two_members it;
    it.list.apply(make_list({make_object("a", 4)}, true), start);
    EXPECT_EQ(it.list.size(), 2U);
    EXPECT_TRUE(it.list.is_registered(make_member("a")));
    EXPECT_FALSE(it.list.is_registered(make_member("b")));
    EXPECT_FALSE(it.list.expire(start + 1s));
    EXPECT_TRUE(it.list.expire(start + member_list::registration_time));
    EXPECT_EQ(it.list.size(), 1U);
}

TEST(member_list, keeps_vms_that_have_registered_again)
{
    two_members it;
    it.list.apply(make_list({make_object("a", 4)}, true), start);
    object_update change;
    change.objects.push_back(make_object("b", 5));
    it.list.apply(change, start + 1s);
    EXPECT_FALSE(it.list.expire(start + member_list::registration_time));
    EXPECT_TRUE(it.list.is_registered(make_member("b")));
    EXPECT_EQ(it.list.revision_of("b"), 5U);
}

// A VM that is missing in any other list is gone.
TEST(member_list, drops_vms_that_are_not_listed)
{
    two_members it;
    it.list.apply(make_list({make_object("a", 12)}, false), start);
    EXPECT_EQ(it.list.size(), 1U);
}

// A revision of the former history could be that of another object: a VM that
// is alive would be removed.
TEST(member_list, gives_no_revision_of_a_former_history)
{
    two_members it;
    EXPECT_EQ(it.list.revision_of("b"), 11U);
    it.list.forget_revisions();
    EXPECT_EQ(it.list.revision_of("b"), std::nullopt);
    it.list.apply(make_list({make_object("a", 4)}, true), start);
    EXPECT_EQ(it.list.revision_of("a"), 4U);
    EXPECT_EQ(it.list.revision_of("b"), std::nullopt);
}

} // namespace
} // namespace buckthornvale::gateway::store
