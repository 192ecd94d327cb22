#ifndef BUCKTHORNVALE_DECISION_TESTS_GATEWAY_REDUCER_FIXTURE_HPP
#define BUCKTHORNVALE_DECISION_TESTS_GATEWAY_REDUCER_FIXTURE_HPP

#include <buckthornvale/decision/gateway/reducer.hpp>

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace buckthornvale::decision::gateway
{

//! A reducer with a manifest and runners, driven by events.
class reducer_fixture : public testing::Test
{
protected:
    explicit reducer_fixture(gateway_settings settings = default_settings());

    static gateway_settings default_settings();

    effects feed(event const& input);
    effects advance(duration by);

    //! Sends a request to the path. Its identifier is `last_request`.
    effects arrive(std::string const& path,
                   duration time_left = std::chrono::milliseconds(1500),
                   bool on_reused_connection = false);

    effects end_attempt(attempt_outcome outcome, int status = 0,
                        bool sealed = false);

    template <class Effect>
    static std::vector<Effect> all(effects const& from)
    {
        std::vector<Effect> out;
        for (auto const& it : from)
            if (auto const* found = std::get_if<Effect>(&it))
                out.push_back(*found);
        return out;
    }

    template <class Effect>
    static Effect only(effects const& from)
    {
        auto const found = all<Effect>(from);
        EXPECT_EQ(found.size(), 1U);
        return found.empty() ? Effect() : found.front();
    }

    static runner make_runner(std::string id, std::string service);
    static std::shared_ptr<manifest> make_manifest(std::uint64_t version);

    reducer gateway;
    time_point now{std::chrono::seconds(100)};
    request_ref last_request = 0;
    std::uint32_t next_attempt = 1;
};

} // namespace buckthornvale::decision::gateway

#endif
