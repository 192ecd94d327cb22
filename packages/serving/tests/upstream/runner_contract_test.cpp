#include "support/runner_fixture.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace buckthornvale::serving::tests
{
namespace
{

using decision::runner_kind;
using nlohmann::json;
using requests::attempt_outcome;
using requests::service_outcome;
using standins::faults;
using upstream::order_result;

using backend_factory = std::unique_ptr<runner_backend> (*)();

//! One fault and what the caller of the runner must see.
struct call_row
{
    std::string name;
    runner_kind kind;
    bool stream;
    faults active;
    attempt_outcome result;
    bool crashed;
    std::uint64_t executed;
    std::size_t tokens = 0;
    std::uint64_t resume_from = 0;
    bool short_budget = false;
};

faults with(void (*change)(faults&))
{
    faults value;
    change(value);
    return value;
}

constexpr auto engine_kind = runner_kind::engine;
constexpr auto service_kind = runner_kind::service;

std::vector<call_row> call_rows()
{
    using outcome = attempt_outcome;
    auto const none = faults();
    auto const refuse = with([](faults& it) { it.refuse = true; });
    auto const before = with([](faults& it) { it.drop_before = true; });
    auto const after = with([](faults& it) { it.drop_after = true; });
    auto const status = with([](faults& it) { it.error_status = 500; });
    auto const busy = with([](faults& it) { it.error_status = 503; });
    auto const bad = with([](faults& it) { it.bad_answer = true; });
    auto const large = with([](faults& it) { it.pad_bytes = 4000; });
    auto const freeze = with([](faults& it) { it.freeze = true; });
    auto const slow = with([](faults& it) { it.delay_ms = 30000; });
    auto const marked = with([](faults& it) { it.exit_marker = "1.50"; });
    auto const broken = with([](faults& it) { it.break_after = 3; });
    auto const gap = with([](faults& it) { it.skip_index = 4; });
    return {
        {"plain", engine_kind, false, none, outcome::completed, false, 1},
        {"service", service_kind, false, none, outcome::completed, false, 1},
        {"refused", engine_kind, false, refuse, outcome::not_started, false, 0},
        {"service_refused", service_kind, false, refuse, outcome::not_started,
         false, 0},
        {"stream_refused", engine_kind, true, refuse, outcome::not_started,
         false, 0},
        {"dropped_before", engine_kind, false, before, outcome::connection_lost,
         true, 0},
        {"dropped_after", engine_kind, false, after, outcome::connection_lost,
         true, 1},
        {"service_dropped_after", service_kind, false, after,
         outcome::connection_lost, true, 1},
        {"stream_dropped", engine_kind, true, after, outcome::connection_lost,
         true, 1},
        {"error_status", engine_kind, false, status, outcome::rejected, false,
         1},
        {"busy_without_started", service_kind, false, busy, outcome::rejected,
         false, 1},
        {"stream_error", engine_kind, true, status, outcome::rejected, false,
         1},
        {"bad_answer", engine_kind, false, bad, outcome::connection_lost, false,
         1},
        {"large_answer", service_kind, false, large, outcome::connection_lost,
         false, 1},
        {"frozen", engine_kind, false, freeze, outcome::timed_out, false, 0, 0,
         0, true},
        {"slow", service_kind, false, slow, outcome::timed_out, false, 1, 0, 0,
         true},
        {"crash", engine_kind, false, marked, outcome::connection_lost, true,
         1},
        {"stream", engine_kind, true, none, outcome::completed, false, 1, 12},
        {"resumed_stream", engine_kind, true, none, outcome::completed, false,
         1, 7, 5},
        {"broken_stream", engine_kind, true, broken, outcome::connection_lost,
         true, 1, 3},
        {"gap_in_stream", engine_kind, true, gap, outcome::completed, false, 1,
         11},
    };
}

//! Time for an attempt that is meant to run out of it.
constexpr std::chrono::milliseconds short_budget{1000};

class runner_contract
    : public testing::TestWithParam<std::tuple<backend_factory, call_row>>
{
};

// Guards against an outcome that claims more than the connection proves, and
// against a fake that differs from the real adapter.
TEST_P(runner_contract, tells_what_is_proven)
{
    auto const& row = std::get<1>(GetParam());
    auto const backend = std::get<0>(GetParam())();
    backend->set_faults(row.active);
    auto attempt = attempt_of(1, row.kind);
    attempt.port = backend->port_of(row.kind);
    attempt.stream = row.stream;
    attempt.resume_from = row.resume_from;
    if (row.short_budget)
        attempt.budget = short_budget;
    backend->calls().start(attempt);
    auto const ended = backend->listener.ends.at(0);
    EXPECT_EQ(ended.result, row.result) << ended.detail;
    EXPECT_EQ(ended.runner_crashed, row.crashed) << ended.detail;
    EXPECT_EQ(ended.call, attempt.attempt);
    EXPECT_EQ(ended.answered_attempt, attempt.attempt);
    EXPECT_EQ(backend->executed(), row.executed);
    auto const tokens = backend->listener.tokens.all();
    ASSERT_EQ(tokens.size(), row.tokens);
    for (auto const& it : tokens)
        EXPECT_EQ(it.text, standins::token_text(expected_input, it.index));
    if (row.stream && ended.result == attempt_outcome::completed)
    {
        EXPECT_EQ(ended.token_count, 12U);
    }
    else if (ended.result == attempt_outcome::completed)
    {
        EXPECT_EQ(json::parse(ended.output)["digest"],
                  standins::input_digest(expected_input));
    }
    backend->set_faults({});
}

class runner_basics : public testing::TestWithParam<backend_factory>
{
protected:
    requests::start_attempt attempt(std::uint64_t counter, runner_kind kind)
    {
        auto value = attempt_of(counter, kind);
        value.port = backend->port_of(kind);
        return value;
    }

    std::unique_ptr<runner_backend> backend = GetParam()();
};

// Guards against I3: a refused connection is the one fault of a connection
// that proves that nothing ran.
TEST_P(runner_basics, tells_a_refused_connection_as_not_started)
{
    auto const call = attempt(1, engine_kind);
    backend->shut_down();
    backend->calls().start(call);
    auto const ended = backend->listener.ends.at(0);
    EXPECT_EQ(ended.result, attempt_outcome::not_started) << ended.detail;
    EXPECT_TRUE(ended.runner_crashed);
}

class crossed_answers
    : public testing::TestWithParam<std::tuple<backend_factory, bool>>
{
};

// Guards against I2: an answer taken for that of the call it came on.
TEST_P(crossed_answers, name_the_attempt_they_answer)
{
    auto const stream = std::get<1>(GetParam());
    auto const backend = std::get<0>(GetParam())();
    backend->set_faults(
        with([](faults& it) { it.cross = true, it.cross_wait_ms = 60000; }));
    for (auto const counter : {1U, 2U})
    {
        auto call = attempt_of(counter, engine_kind);
        call.port = backend->port_of(engine_kind);
        call.stream = stream;
        backend->calls().start(call);
    }
    backend->listener.ends.at(1);
    for (auto const& it : backend->listener.ends.all())
    {
        EXPECT_EQ(it.result, attempt_outcome::completed) << it.detail;
        EXPECT_EQ(it.call.counter + it.answered_attempt.counter, 3U);
    }
    for (auto const& it : backend->listener.tokens.all())
        EXPECT_EQ(it.call.counter + it.answered_attempt.counter, 3U);
}

// Guards against a cancelled call that keeps its thread or its slot.
TEST_P(runner_basics, ends_a_cancelled_call_at_once)
{
    backend->set_faults(with([](faults& it) { it.delay_ms = 50000; }));
    auto const call = attempt(1, engine_kind);
    backend->calls().start(call);
    ASSERT_TRUE(eventually([&] { return backend->executed() == 1; }));
    backend->calls().cancel({call.attempt, call.runner});
    EXPECT_EQ(backend->listener.ends.at(0).result, attempt_outcome::cancelled);
}

// Guards against a booking that is settled by a guess.
TEST_P(runner_basics, asks_a_service_what_became_of_a_key)
{
    auto const call = attempt(1, service_kind);
    backend->calls().start(call);
    auto const output = backend->listener.ends.at(0).output;
    requests::query_service_outcome query;
    query.claim = {1, 2};
    query.idempotency_key = call.idempotency_key;
    query.host = call.host;
    query.port = call.port;
    backend->calls().ask(query);
    auto told = backend->listener.outcomes.at(0);
    EXPECT_EQ(told.result, service_outcome::completed);
    EXPECT_EQ(told.output, output);
    query.idempotency_key = "never&sent";
    backend->calls().ask(query);
    told = backend->listener.outcomes.at(1);
    EXPECT_EQ(told.result, service_outcome::not_seen);
    EXPECT_EQ(told.claim, query.claim);
    backend->shut_down();
    backend->calls().ask(query);
    told = backend->listener.outcomes.at(2);
    EXPECT_EQ(told.result, service_outcome::unavailable);
}

// Guards against an order that an older lease holder gets through, or that is
// sent after its lease.
TEST_P(runner_basics, gives_orders_under_a_fencing_number)
{
    upstream::engine_order order;
    order.host = "127.0.0.1";
    order.port = backend->port_of(engine_kind);
    order.kind = "load";
    order.name = "large";
    order.valid_for = hang_limit;
    std::size_t n = 0;
    auto const give = [&](std::uint64_t fencing)
    {
        order.fencing = fencing;
        backend->calls().order(order);
        return backend->listener.orders.at(n++).result;
    };
    EXPECT_EQ(give(5), order_result::accepted);
    EXPECT_EQ(give(4), order_result::stale_fencing);
    backend->set_faults(with([](faults& it) { it.ignore_fencing = true; }));
    EXPECT_EQ(give(4), order_result::accepted);
    order.valid_for = {};
    EXPECT_EQ(give(6), order_result::failed);
    order.valid_for = hang_limit;
    backend->shut_down();
    EXPECT_EQ(give(7), order_result::failed);
}

constexpr backend_factory backends[] = {make_standin_backend,
                                        make_fake_backend};

std::string name_of(backend_factory factory)
{
    return factory == make_fake_backend ? "fake" : "standin";
}

INSTANTIATE_TEST_SUITE_P(rows, runner_contract,
                         testing::Combine(testing::ValuesIn(backends),
                                          testing::ValuesIn(call_rows())),
                         [](auto const& it) {
                             return name_of(std::get<0>(it.param)) + "_" +
                                    std::get<1>(it.param).name;
                         });
INSTANTIATE_TEST_SUITE_P(rows, runner_basics, testing::ValuesIn(backends),
                         [](auto const& it) { return name_of(it.param); });
INSTANTIATE_TEST_SUITE_P(rows, crossed_answers,
                         testing::Combine(testing::ValuesIn(backends),
                                          testing::Bool()),
                         [](auto const& it)
                         {
                             return name_of(std::get<0>(it.param)) +
                                    (std::get<1>(it.param) ? "_stream"
                                                           : "_plain");
                         });

} // namespace
} // namespace buckthornvale::serving::tests
