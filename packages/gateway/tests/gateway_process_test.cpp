#include "fleet_fixture.hpp"

#include <thread>

namespace buckthornvale::gateway
{
namespace
{

using standins::fleet_platform::answer_head;
using standins::fleet_platform::is_sealed;
using standins::fleet_platform::received_request;
using standins::fleet_platform::runner_standin;
using standins::fleet_platform::scripted_answer;
using standins::fleet_platform::start_of_request;

int status_of(std::string const& answer)
{
    return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3));
}

class gateway_process_fleet : public fleet_fixture
{
};

class gateway_process_http : public fleet_fixture
{
protected:
    gateway_process_http() : gateway(start_gateway("vm-0")) {}

    // Sends a request to the path and returns the response to the caller when
    // the runner responds with the script.
    std::string exchange_with_answer(
        std::string const& path,
        std::function<scripted_answer(received_request const&)> script)
    {
        plain->script.push_back(std::move(script));
        return exchange(request("POST", path, "body"));
    }

    std::unique_ptr<runner> plain = add_runner("plain-1", "plain");
    std::unique_ptr<gateway_process> gateway;
};

TEST_F(gateway_process_fleet, serves_plain_requests_streams_and_stages)
{
    auto const plain = add_runner("plain-1", "plain");
    auto const engine = add_runner("engine-1", "engine");
    auto const stage = add_runner("stage-1", "stage");
    auto const gateway = start_gateway("vm-0");
    auto const answer = exchange(request("POST", "/book/x", "abc"));
    EXPECT_EQ(status_of(answer), 200) << answer;
    EXPECT_TRUE(is_sealed(answer));
    ASSERT_EQ(plain->received.size(), 1U);
    EXPECT_EQ(plain->received[0].organisation, "org");
    EXPECT_EQ(plain->received[0].expected_runner, "plain-1");
    EXPECT_FALSE(contains(plain->received[0].text, "Bearer"));
    EXPECT_EQ(plain->received[0].body, "abc");
    EXPECT_EQ(status_of(exchange(request("GET", "/none/"))), 404);
    auto const staged = exchange(request("POST", "/staged/x", "", "2"));
    EXPECT_EQ(status_of(staged), 200) << staged;
    ASSERT_EQ(engine->received.size(), 1U);
    EXPECT_NE(engine->received[0].inputs, "");
}

// Handlers of a destroyed gateway that are queued already must not run: they
// read freed memory. The tick of one gateway destroys the others, while their
// ticks, accepted connections and answers of the store wait in the same queue.
TEST_F(gateway_process_fleet, can_be_destroyed_while_its_handlers_are_queued)
{
    std::vector<std::unique_ptr<gateway_process>> gateways;
    std::vector<std::unique_ptr<recording_caller>> callers;
    for (auto const* name : {"vm-0", "vm-1", "vm-2"})
    {
        gateways.push_back(start_gateway(name));
        callers.push_back(
            std::make_unique<recording_caller>(loop, callers_port));
    }
    net::timer destroyer(loop);
    destroyer.start(std::chrono::milliseconds(1), [&] { gateways.clear(); });
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    run_for(std::chrono::milliseconds(200));
    EXPECT_TRUE(gateways.empty());
}

// Guards against requests that fail because the store is down.
TEST_F(gateway_process_fleet, serves_during_a_store_outage)
{
    auto const plain = add_runner("plain-1", "plain");
    auto const gateway = start_gateway("vm-0");
    object_store.set_down(true);
    EXPECT_EQ(status_of(exchange(request("GET", "/read/x"))), 200);
    put_manifest(2, true);
    object_store.set_down(false);
    EXPECT_TRUE(run_until(
        [&]
        { return status_of(exchange(request("GET", "/extra/x"))) == 200; }));
}

// Guards against a VM that keeps waiting for a watch whose request was lost
// during an outage of the store. In a simulated day, manifest version 7 was not
// in force two seconds after its acknowledgement, once the store was back.
TEST_F(gateway_process_fleet, reconnects_soon_after_a_silent_store_recovers)
{
    auto const plain = add_runner("plain-1", "plain");
    auto const gateway = start_gateway("vm-0");
    object_store.set_down(true);
    run_for(std::chrono::milliseconds(300));
    object_store.set_down(false);
    object_store.set_silent(true);
    run_for(std::chrono::seconds(3));
    object_store.set_silent(false);
    put_manifest(2, true);
    run_for(std::chrono::seconds(2));
    EXPECT_EQ(status_of(exchange(request("GET", "/extra/x"))), 200);
}

// Guards against a VM that stays on an old manifest because the store is
// unreachable from this VM only.
TEST_F(gateway_process_fleet, fetches_the_manifest_from_another_vm)
{
    auto const plain = add_runner("plain-1", "plain");
    // Two stores model one that only some VMs can reach.
    store first_store{loop};
    object_store.copy_to(first_store);
    auto const first = start_gateway("vm-0", first_store);
    auto const port = callers_port;
    auto const second = start_gateway("vm-1", object_store);
    object_store.copy_to(first_store);
    EXPECT_TRUE(run_until([&] { return first_store.members() == 2; }));
    // The member list is read again at most 1.5 s after a change.
    run_for(std::chrono::seconds(2));
    first_store.set_down(true);
    put_manifest(2, true);
    callers_port = port;
    EXPECT_TRUE(run_until(
        [&]
        { return status_of(exchange(request("GET", "/extra/x"))) == 200; }));
}

// Guards against a VM that misses changes because the store has compacted its
// history.
TEST_F(gateway_process_fleet, lists_again_after_the_history_is_compacted)
{
    auto const plain = add_runner("plain-1", "plain");
    auto const gateway = start_gateway("vm-0");
    object_store.set_down(true);
    put_manifest(2, true);
    object_store.compact();
    object_store.set_down(false);
    EXPECT_TRUE(run_until(
        [&]
        { return status_of(exchange(request("GET", "/extra/x"))) == 200; }));
}

// Guards against an odd entry of another writer: the gateway would end, or no
// longer follow the list of runners.
TEST_F(gateway_process_fleet, follows_the_runner_list_past_odd_entries)
{
    auto const gateway = start_gateway("vm-0");
    auto const plain = add_runner("plain-1", "plain");
    auto const odd_entry =
        [&](char const* name, char const* field, nlohmann::json value)
    {
        auto entry = plain->entry("plain");
        entry[field] = std::move(value);
        object_store.put_runner(name, entry);
    };
    object_store.replace_in_answers("huge", "1e400");
    object_store.replace_in_answers("deep", std::string(50'000, '[') +
                                                std::string(50'000, ']'));
    odd_entry("odd-1", "slots", "huge");
    odd_entry("odd-2", "born", "deep");
    odd_entry("odd-3", "address", "127.0.0.1:99999");
    odd_entry("odd-4", "slots", -4);
    odd_entry("odd-5", "address", "no address");
    auto const later = add_runner("plain-2", "plain");
    EXPECT_TRUE(run_until(
        [&] { return status_of(exchange(request("GET", "/read/x"))) == 200; }));
    // The change after the odd entries has arrived too.
    object_store.remove("servers", "plain-1");
    EXPECT_TRUE(run_until(
        [&]
        {
            exchange(request("GET", "/read/x"));
            return !later->received.empty();
        }));
    // A gateway that starts with the odd entries in its list.
    auto const second = start_gateway("vm-1");
    EXPECT_EQ(status_of(exchange(request("GET", "/read/x"))), 200);
}

// Guards against requests whose pieces are lost with the VM that scheduled
// them. Of the two VMs, one schedules the stage for both.
TEST_F(gateway_process_fleet, serves_stages_after_another_vm_is_killed)
{
    auto const engine = add_runner("engine-1", "engine");
    auto const stage = add_runner("stage-1", "stage");
    auto first = start_gateway("vm-0");
    auto const first_port = callers_port;
    auto second = start_gateway("vm-1");
    auto const second_port = callers_port;
    for (auto const port : {first_port, second_port})
    {
        callers_port = port;
        EXPECT_EQ(status_of(exchange(request("POST", "/staged/x"))), 200);
    }
    second.reset();
    callers_port = first_port;
    EXPECT_EQ(status_of(exchange(request("POST", "/staged/y"))), 200);
}

// Guards against a booking that runs twice because its response was lost, and
// against a response which claims that it has not run.
TEST_F(gateway_process_http, does_not_resend_a_booking_after_a_lost_answer)
{
    auto const other = add_runner("plain-2", "plain");
    auto const reset_connection = [](received_request const&)
    {
        scripted_answer out;
        out.reset = true;
        return out;
    };
    plain->script.emplace_back(reset_connection);
    other->script.emplace_back(reset_connection);
    auto const answer = exchange(request("POST", "/book/x", "body"));
    EXPECT_EQ(status_of(answer), 502) << answer;
    EXPECT_EQ(plain->received.size() + other->received.size(), 1U);
}

// Guards against a response that is assigned to the next request: the runner
// responds twice, and the second response is late.
TEST_F(gateway_process_http, discards_a_second_answer_to_an_earlier_request)
{
    auto const first =
        exchange_with_answer("/book/x",
                             [](received_request const& in)
                             {
                                 auto out = runner_standin::proper(in, "right");
                                 out.bytes +=
                                     runner_standin::proper(in, "extra").bytes;
                                 return out;
                             });
    EXPECT_TRUE(contains(first, "right")) << first;
    EXPECT_FALSE(contains(first, "extra"));
    auto const second = exchange(request("POST", "/book/y", "body"));
    EXPECT_TRUE(contains(second, "body of " + last_request_id)) << second;
}

TEST_F(gateway_process_http, skips_an_answer_with_the_id_of_another_request)
{
    auto const answer = exchange_with_answer(
        "/book/x",
        [](received_request const& in)
        {
            auto other = in;
            other.id = "another";
            auto out = runner_standin::proper(other, "wrong");
            out.bytes += runner_standin::proper(in, "right").bytes;
            return out;
        });
    EXPECT_TRUE(contains(answer, "right")) << answer;
    EXPECT_FALSE(contains(answer, "wrong"));
}

// Guards against an earlier refusal that a faulty runner writes again, without
// the id of its request: the booking would run at a second runner too.
TEST_F(gateway_process_http, does_not_believe_a_refusal_without_an_id)
{
    auto const other = add_runner("plain-2", "plain");
    wait_for_runners();
    auto const refusal = [](received_request const& in)
    {
        answer_head head;
        head.status_line = "503 Service Unavailable";
        head.names_request = false;
        head.not_executed = true;
        return runner_standin::with_head(in, head, "");
    };
    plain->script.emplace_back(refusal);
    other->script.emplace_back(refusal);
    auto const answer = exchange(request("POST", "/book/x", "body"));
    EXPECT_EQ(status_of(answer), 502) << answer;
    EXPECT_EQ(plain->received.size() + other->received.size(), 1U);
}

// Guards against an earlier refusal of the same request that a faulty runner
// writes again on a kept connection, where the id does not tell it apart: the
// request, sent again after its stages, would run at a second runner too.
TEST_F(gateway_process_fleet, sends_a_request_again_on_a_connection_of_its_own)
{
    auto const engine = add_runner("engine-1", "engine");
    auto const stage = add_runner("stage-1", "stage");
    auto const gateway = start_gateway("vm-0");
    auto const inputs_gone = [](received_request const& in)
    {
        answer_head head;
        head.status_line = "409 Conflict";
        head.not_executed = true;
        return runner_standin::with_head(in, head, "");
    };
    engine->script.emplace_back(inputs_gone);
    engine->script.emplace_back(
        [&](received_request const& in)
        {
            bool const kept = in.connection == engine->received[0].connection;
            return kept ? inputs_gone(in)
                        : runner_standin::proper(in, "data: done\n\n");
        });
    auto const answer = exchange(request("POST", "/staged/x", "", "1"));
    EXPECT_EQ(status_of(answer), 200) << answer;
    EXPECT_TRUE(contains(answer, "done")) << answer;
}

// A request whose caller left while its stages were computed again was kept for
// ever, so that a planned stop waited for it until the end of its grace period.
TEST_F(gateway_process_fleet,
       drops_a_request_whose_caller_leaves_between_attempts)
{
    auto const engine = add_runner("engine-1", "engine");
    auto const stage = add_runner("stage-1", "stage");
    auto const gateway = start_gateway("vm-0");
    engine->script.emplace_back(
        [&](received_request const& in)
        {
            stage->script.emplace_back(
                [](received_request const&)
                {
                    scripted_answer out;
                    out.silent = true;
                    return out;
                });
            standins::fleet_platform::answer_head head;
            head.status_line = "409 Conflict";
            head.not_executed = true;
            return runner_standin::with_head(in, head, "");
        });
    recording_caller caller(loop, callers_port);
    caller.send(request("POST", "/staged/x", "", "1"));
    ASSERT_TRUE(run_until([&] { return stage->received.size() == 2; }));
    caller.leave();
    run_for(std::chrono::milliseconds(600));
    recording_caller metrics(loop, peer_port);
    metrics.send("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
    auto const active = "buckthornvale_gateway_active_requests ";
    ASSERT_TRUE(run_until([&] { return contains(metrics.received, active); }));
    EXPECT_TRUE(contains(metrics.received, std::string(active) + "0\n"))
        << metrics.received;
}

// Guards against a truncated body that looks complete to the caller.
TEST_F(gateway_process_http, rejects_a_truncated_answer)
{
    auto const answer =
        exchange_with_answer("/book/x",
                             [](received_request const& in)
                             {
                                 auto out =
                                     runner_standin::proper(in, "0123456789");
                                 out.bytes.resize(out.bytes.size() - 4);
                                 out.close = true;
                                 return out;
                             });
    EXPECT_EQ(status_of(answer), 502) << answer;
}

TEST_F(gateway_process_http, forwards_an_answer_without_a_length)
{
    auto const answer = exchange_with_answer(
        "/book/x", [](received_request const& in)
        { return runner_standin::without_length(in, "whole"); });
    EXPECT_EQ(status_of(answer), 200) << answer;
    EXPECT_TRUE(contains(answer, "Content-Length: 5\r\n"));
}

TEST_F(gateway_process_http, rejects_a_malformed_answer)
{
    auto const answer = exchange_with_answer("/book/x",
                                             [](received_request const&)
                                             {
                                                 scripted_answer out;
                                                 out.bytes = "garbage\r\n\r\n";
                                                 return out;
                                             });
    EXPECT_EQ(status_of(answer), 502) << answer;
}

// Guards against a body that an intermediary has rewritten.
TEST_F(gateway_process_http, rejects_an_encoded_success_answer)
{
    auto const answer =
        exchange_with_answer("/book/x", [](received_request const& in)
                             { return runner_standin::encoded(in, "zip"); });
    EXPECT_EQ(status_of(answer), 502) << answer;
}

// Guards against request smuggling and against callers that exceed the limits.
TEST_F(gateway_process_http, rejects_malformed_requests)
{
    struct malformed_request
    {
        std::string text;
        int status;
    };
    auto const post = start_of_request("POST", "/book/x", "a");
    malformed_request const malformed[] = {
        {post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
                "0\r\n\r\n",
         400},
        {"nonsense\r\n\r\n", 400},
        {"GET /read/x HTTP/1.1\r\nHost: h\r\n\r\n", 400},
        {"GET /read/x HTTP/1.1\r\nHost: h\r\nBig: " + std::string(5000, 'x') +
             "\r\n\r\n",
         431},
        {post + "Content-Length: 200000\r\n\r\n", 413},
    };
    for (auto const& it : malformed)
        EXPECT_EQ(status_of(exchange(it.text)), it.status) << it.text;
    EXPECT_TRUE(plain->received.empty());
}

TEST_F(gateway_process_http, serves_pipelined_requests)
{
    recording_caller caller(loop, callers_port);
    auto const first = request("POST", "/book/x", "1");
    auto const first_id = last_request_id;
    caller.send(first + request("POST", "/book/y", "2"));
    EXPECT_TRUE(run_until(
        [&]
        { return contains(caller.received, "body of " + last_request_id); }));
    EXPECT_LT(caller.received.find("body of " + first_id),
              caller.received.find("body of " + last_request_id));
}

// Guards against a shutdown that interrupts a request in progress.
TEST_F(gateway_process_http, finishes_a_request_while_draining)
{
    plain->script.emplace_back(
        [&](received_request const& in)
        {
            gateway->drain();
            return runner_standin::proper(in, "finished");
        });
    recording_caller caller(loop, callers_port);
    caller.send(request("POST", "/book/x", "body"));
    EXPECT_TRUE(
        run_until([&] { return contains(caller.received, "finished"); }));
    EXPECT_TRUE(contains(caller.received, "Connection: close\r\n"));
}

// Guards against an interrupted stream that is resumed after a partial event or
// that repeats an event.
TEST_F(gateway_process_http, resumes_a_stream_at_an_event_boundary)
{
    auto const chunk = [](std::string const& text)
    {
        std::string out;
        http::append_chunk(out, text);
        return out;
    };
    auto const broken = [&](received_request const& in)
    {
        scripted_answer out;
        out.bytes = runner_standin::stream_head(in) +
                    chunk("id: 1\ndata: a\n\nid: 2\nda");
        out.close = true;
        return out;
    };
    auto const rest = [&](received_request const& in)
    {
        EXPECT_EQ(in.last_event_id, "1");
        scripted_answer out;
        out.bytes = runner_standin::stream_head(in) +
                    chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n";
        return out;
    };
    auto const first = add_runner("engine-1", "engine");
    auto const second = add_runner("engine-2", "engine");
    wait_for_runners();
    int sends = 0;
    auto const script = [&](received_request const& in)
    { return ++sends == 1 ? broken(in) : rest(in); };
    for (auto* it : {first.get(), second.get()})
        it->script.emplace_back(script);
    auto const answer = exchange(request("POST", "/resume/x", "prompt"));
    EXPECT_TRUE(contains(answer, "id: 1\ndata: a\n\n")) << answer;
    EXPECT_TRUE(contains(answer, "id: 2\ndata: b\n\n"));
    EXPECT_FALSE(contains(answer, "\nda\r\n"));
}

} // namespace
} // namespace buckthornvale::gateway
