#include "support/front_fixture.hpp"
#include <buckthornvale/serving/http/key_digest.hpp>

namespace buckthornvale::serving::tests
{
namespace
{

using decision::error_kind;
using nlohmann::json;
using requests::outcome;

std::string padded_body(std::size_t size)
{
    return R"({"input":")" + std::string(size, 'x') + R"("})";
}

//! A request that is refused before it reaches the sink.
struct refused_row
{
    std::string name;
    std::string body;
    int status;
    std::string kind;
    std::string names; //!< text that the message contains
};

std::vector<refused_row> const refused_rows = {
    {"bad_json", "{", 400, "malformed_request", "must be JSON"},
    {"not_an_object", "[]", 400, "malformed_request", "JSON object"},
    {"not_utf8", "{\"input\":\"\xff\"}", 400, "malformed_request", "UTF-8"},
    {"too_deep", std::string(100000, '['), 400, "malformed_request", "deep"},
    {"empty", "", 400, "malformed_request", "must be JSON"},
    {"unknown_field",
     R"({"organisation":"a","rank":"urgent","deadline_ms":1,"input":1,)"
     R"("idempotencykey":"k"})",
     400, "malformed_request", "'idempotencykey' is unknown"},
    {"missing_organisation", R"({"rank":"urgent","deadline_ms":1,"input":1})",
     400, "malformed_request", "'organisation' is missing"},
    {"missing_input", R"({"organisation":"a","rank":"urgent","deadline_ms":1})",
     400, "malformed_request", "'input' is missing"},
    {"rank_unknown",
     R"({"organisation":"a","rank":"top","deadline_ms":1,"input":1})", 400,
     "malformed_request", "'rank' must be one of"},
    {"rank_of_other_type",
     R"({"organisation":"a","rank":3,"deadline_ms":1,"input":1})", 400,
     "malformed_request", "'rank'"},
    {"deadline_zero",
     R"({"organisation":"a","rank":"urgent","deadline_ms":0,"input":1})", 400,
     "malformed_request", "'deadline_ms'"},
    {"deadline_overflows",
     R"({"organisation":"a","rank":"urgent",)"
     R"("deadline_ms":18446744073709551615,"input":1})",
     400, "malformed_request", "'deadline_ms'"},
    {"deadline_fraction",
     R"({"organisation":"a","rank":"urgent","deadline_ms":1.5,"input":1})", 400,
     "malformed_request", "'deadline_ms'"},
    {"key_with_slash",
     R"({"organisation":"a","rank":"urgent","deadline_ms":1,"input":1,)"
     R"("idempotency_key":"a/b"})",
     400, "malformed_request", "'idempotency_key'"},
    {"stream_of_other_type",
     R"({"organisation":"a","rank":"urgent","deadline_ms":1,"input":1,)"
     R"("stream":"yes"})",
     400, "malformed_request", "'stream' must be true or false"},
    {"oversized", padded_body(1024 * 1024), 413, "body_too_large", "1 MB"},
};

class refused_request : public front_test,
                        public testing::WithParamInterface<refused_row>
{
};

// Guards against a malformed request that reaches the reducer, and against an
// error that does not say what to correct.
TEST_P(refused_request, names_the_field_and_is_not_run)
{
    start_front();
    auto const response = post(GetParam().body).get();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, GetParam().status);
    auto const body = json::parse(response->body);
    EXPECT_EQ(body["outcome"], "not_run");
    EXPECT_EQ(body["error"]["kind"], GetParam().kind);
    EXPECT_NE(
        body["error"]["message"].get<std::string>().find(GetParam().names),
        std::string::npos)
        << body;
    EXPECT_NE(body["error"]["remedy"], "");
    EXPECT_EQ(sink.submitted.size(), 0U);
}

INSTANTIATE_TEST_SUITE_P(rows, refused_request, testing::ValuesIn(refused_rows),
                         [](auto const& it) { return it.param.name; });

//! An answer of the event loop and how the caller sees it.
struct answer_row
{
    std::string name;
    requests::answer given;
    int status;
    std::string outcome;
};

std::vector<answer_row> const answer_rows = {
    {"completed", completed("{\"a\":\n1}"), 200, "completed"},
    {"rate_limited", failed(outcome::not_run, error_kind::rate_limited), 429,
     "not_run"},
    {"overloaded", failed(outcome::not_run, error_kind::overloaded), 503,
     "not_run"},
    {"key_reused", failed(outcome::not_run, error_kind::key_reused), 409,
     "not_run"},
    {"deadline", failed(outcome::unknown, error_kind::deadline_exceeded), 504,
     "unknown"},
    {"failed", failed(outcome::unknown, error_kind::runner_failed), 502,
     "unknown"},
    {"pending", failed(outcome::unknown, error_kind::outcome_pending), 202,
     "unknown"},
};

class answered_request : public front_test,
                         public testing::WithParamInterface<answer_row>
{
};

// Guards against an answer whose status contradicts its outcome.
TEST_P(answered_request, has_the_status_of_its_outcome)
{
    start_front();
    auto response = post(good_body);
    auto const id = sink.submitted.at(0).request;
    ASSERT_TRUE(front->deliver(requests::send_answer{id, GetParam().given}));
    auto const result = response.get();
    ASSERT_TRUE(result);
    EXPECT_EQ(result->status, GetParam().status);
    auto const body = json::parse(result->body);
    EXPECT_EQ(body["outcome"], GetParam().outcome);
    EXPECT_EQ(body["request_id"], decision::to_text(id));
    EXPECT_EQ(body.contains("result"), GetParam().given.result != nullptr);
    EXPECT_EQ(sink.left.size(), 0U);
}

// Guards against a stream without its last event or with a wrong status.
TEST_P(answered_request, ends_a_stream_with_the_same_body)
{
    start_front();
    auto response = post(streamed_body);
    auto const id = sink.submitted.at(0).request;
    front->deliver(requests::send_answer{id, GetParam().given});
    auto const result = response.get();
    ASSERT_TRUE(result);
    EXPECT_EQ(result->status, GetParam().status);
    EXPECT_EQ(result->get_header_value("Content-Type"), "text/event-stream");
    std::string const head = "event: end\ndata: ";
    ASSERT_EQ(result->body.substr(0, head.size()), head);
    auto const data = result->body.substr(head.size());
    ASSERT_EQ(data.find('\n'), data.size() - 2) << "data on several lines";
    EXPECT_EQ(json::parse(data)["outcome"], GetParam().outcome);
}

INSTANTIATE_TEST_SUITE_P(rows, answered_request, testing::ValuesIn(answer_rows),
                         [](auto const& it) { return it.param.name; });

// Guards against numbers that change on their way through the front.
TEST_F(front_test, hands_over_the_input_as_it_came)
{
    start_front();
    auto response = post(good_body);
    auto const message = sink.submitted.at(0);
    EXPECT_EQ(message.call.input, R"({"n": 1.50})");
    EXPECT_EQ(message.call.pipeline, "quote");
    EXPECT_EQ(message.call.key_sha256, http::key_digest("key"));
    EXPECT_EQ(message.request.incarnation, 7U);
    front->deliver(requests::send_answer{message.request, completed("1")});
    EXPECT_TRUE(response.get());
}

// Guards against tokens that are held back until the stream ends.
TEST_F(front_test, sends_each_token_before_the_next_is_there)
{
    start_front();
    raw_caller caller(front->port());
    caller.send(post_text(streamed_body));
    auto const id = sink.submitted.at(0).request;
    front->deliver(requests::send_token{id, 0, "a\nb"});
    EXPECT_NE(caller.read_until("\"index\":0").find("a\\nb"),
              std::string::npos);
    front->deliver(requests::send_token{id, 1, "c"});
    caller.read_until("\"index\":1");
    front->deliver(requests::send_answer{id, completed("ab", true)});
    EXPECT_NE(caller.read_until("event: end").find("event: end"),
              std::string::npos);
}

//! How a caller leaves before its answer.
struct hang_up_row
{
    std::string name;
    std::string body;
    bool after_token;
};

class hung_up_request : public front_test,
                        public testing::WithParamInterface<hang_up_row>
{
};

// Guards against runners that go on working for a caller that left.
TEST_P(hung_up_request, is_reported_once)
{
    start_front();
    raw_caller caller(front->port());
    caller.send(post_text(GetParam().body));
    auto const id = sink.submitted.at(0).request;
    if (GetParam().after_token)
    {
        front->deliver(requests::send_token{id, 0, "a"});
        caller.read_until("\"index\":0");
    }
    caller.hang_up();
    EXPECT_EQ(sink.left.at(0).request, id);
    EXPECT_TRUE(eventually([&] { return front->waiting() == 0; }));
    EXPECT_FALSE(front->deliver(requests::send_answer{id, completed("1")}));
    EXPECT_EQ(sink.left.size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(
    rows, hung_up_request,
    testing::Values(hang_up_row{"plain", good_body, false},
                    hang_up_row{"stream_before_token", streamed_body, false},
                    hang_up_row{"stream_after_token", streamed_body, true}),
    [](auto const& it) { return it.param.name; });

//! A caller that breaks a limit on its connection.
struct connection_row
{
    std::string name;
    std::string sent;
    std::string answered; //!< text of the response; empty: none
};

class limited_connection : public front_test,
                           public testing::WithParamInterface<connection_row>
{
};

// Guards against callers that hold a connection, or memory, for as long as they
// like, and against a body that is taken for the next request.
TEST_P(limited_connection, is_answered_and_closed)
{
    auto settings = default_settings();
    settings.server.header_timeout = std::chrono::milliseconds(100);
    settings.server.receive_timeout = std::chrono::milliseconds(100);
    settings.server.idle_timeout = std::chrono::milliseconds(100);
    start_front(settings);
    raw_caller caller(front->port());
    caller.send(GetParam().sent);
    auto const seen = caller.read_all();
    if (GetParam().answered.empty())
        EXPECT_EQ(seen, "");
    else
        EXPECT_NE(seen.find(GetParam().answered), std::string::npos) << seen;
    EXPECT_EQ(seen.find("HTTP/1.1", 1), std::string::npos) << seen;
    EXPECT_EQ(sink.submitted.size(), 0U);
}

std::string post_head(std::string const& headers)
{
    return "POST /v1/pipelines/quote/requests HTTP/1.1\r\n"
           "Authorization: Bearer key\r\n" +
           headers + "\r\n";
}

std::string many_headers()
{
    std::string text;
    for (auto i = 0; i < 40; ++i)
        text += "X-Long: " + std::string(1000, 'a') + "\r\n";
    return text;
}

INSTANTIATE_TEST_SUITE_P(
    rows, limited_connection,
    testing::Values(
        connection_row{"idle", "", ""},
        connection_row{"slow_head", "POST /v1/pipe", ""},
        connection_row{"slow_body", post_head("Content-Length: 9\r\n") + "{",
                       "time limit"},
        connection_row{"long_head", post_head(many_headers()), "16 KB"},
        connection_row{"long_chunked_body",
                       post_head("Transfer-Encoding: chunked\r\n") +
                           "200000\r\n" + std::string(0x200000, ' '),
                       "413"},
        connection_row{"huge_announced_body",
                       post_head("Content-Length: 99999999999\r\n") +
                           std::string(0x200000, ' '),
                       "413"},
        connection_row{"body_of_get",
                       "GET /healthz HTTP/1.1\r\nContent-Length: 27\r\n\r\n"
                       "GET /v1/status HTTP/1.1\r\n\r\n",
                       "\r\n\r\nlive\n"},
        connection_row{"short_body_of_get",
                       "GET /healthz HTTP/1.1\r\nContent-Length: 30\r\n\r\n"
                       "GET /v1/status HTTP/1.1\r\n\r\n",
                       "time limit"}),
    [](auto const& it) { return it.param.name; });

// Guards against one VM that takes more callers than it has room for.
TEST_F(front_test, refuses_callers_above_the_bound_and_stays_healthy)
{
    start_front();
    std::vector<std::future<httplib::Result>> waiting;
    for (std::size_t i = 0; i < default_settings().max_waiting; ++i)
        waiting.push_back(post(good_body));
    sink.submitted.at(default_settings().max_waiting - 1);
    auto const refused = post(good_body).get();
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->status, 503);
    EXPECT_EQ(json::parse(refused->body)["error"]["kind"], "overloaded");
    EXPECT_EQ(get("/healthz")->status, 200);
    for (auto const& it : sink.submitted.all())
        front->deliver(requests::send_answer{it.request, completed("1")});
    for (auto& it : waiting)
        EXPECT_EQ(it.get()->status, 200);
}

// Guards against connections that pile up without an answer until the caller's
// own timeout.
TEST_F(front_test, refuses_connections_above_the_bound)
{
    auto settings = default_settings();
    settings.server.max_connections = 1;
    start_front(settings);
    auto first = post(good_body);
    auto const id = sink.submitted.at(0).request;
    raw_caller second(front->port());
    EXPECT_NE(second.read_all().find("overloaded"), std::string::npos);
    front->deliver(requests::send_answer{id, completed("1")});
    EXPECT_EQ(first.get()->status, 200);
}

// Guards against I6: a stop that cuts requests in flight.
TEST_F(front_test, finishes_requests_in_flight_after_accepting_stopped)
{
    start_front();
    auto plain = post(good_body);
    auto const plain_id = sink.submitted.at(0).request;
    auto stream = post(streamed_body);
    auto const stream_id = sink.submitted.at(1).request;
    front->deliver(requests::send_token{stream_id, 0, "a"});
    front->stop_accepting();
    EXPECT_TRUE(eventually([&] { return !get("/healthz"); }));
    front->deliver(requests::send_token{stream_id, 1, "b"});
    front->deliver(requests::send_answer{stream_id, completed("1")});
    front->deliver(requests::send_answer{plain_id, completed("1")});
    EXPECT_EQ(plain.get()->status, 200);
    auto const streamed = stream.get();
    ASSERT_TRUE(streamed);
    EXPECT_NE(streamed->body.find("event: end"), std::string::npos);
    front->finish();
    EXPECT_EQ(sink.left.size(), 0U);
}

// Guards against an idle connection that delays a stop.
TEST_F(front_test, closes_idle_connections_when_accepting_stops)
{
    auto settings = default_settings();
    settings.server.idle_timeout = hang_limit;
    start_front(settings);
    raw_caller idle(front->port());
    idle.send("GET /healthz HTTP/1.1\r\n\r\n");
    idle.read_until("\r\n\r\nlive\n");
    front->stop_accepting();
    EXPECT_EQ(idle.read_all(), "");
    front->finish();
}

//! An outcome query and its answer.
struct query_row
{
    std::string name;
    requests::answer given;
    int status;
};

class outcome_query : public front_test,
                      public testing::WithParamInterface<query_row>
{
};

// Guards against a query whose status is that of the request it asks about.
TEST_P(outcome_query, has_the_status_of_the_query)
{
    start_front();
    auto response =
        std::async(std::launch::async,
                   [&]
                   {
                       return get("/v1/outcomes/k-1?organisation=orchard",
                                  {{"Authorization", "Bearer key"}});
                   });
    auto const asked = sink.asked.at(0);
    EXPECT_EQ(asked.organisation, "orchard");
    EXPECT_EQ(asked.idempotency_key, "k-1");
    EXPECT_EQ(asked.key_sha256, http::key_digest("key"));
    front->deliver(requests::send_answer{asked.request, GetParam().given});
    EXPECT_EQ(response.get()->status, GetParam().status);
}

INSTANTIATE_TEST_SUITE_P(
    rows, outcome_query,
    testing::Values(
        query_row{"completed", completed("1"), 200},
        query_row{"failed", failed(outcome::unknown, error_kind::runner_failed),
                  200},
        query_row{"not_run", failed(outcome::not_run, error_kind::overloaded),
                  200},
        query_row{"pending",
                  failed(outcome::unknown, error_kind::outcome_pending), 202},
        query_row{"wrong_key",
                  failed(outcome::not_run, error_kind::unauthenticated), 401}),
    [](auto const& it) { return it.param.name; });

// Guards against operator endpoints that are open to callers.
TEST_F(front_test, serves_operators_with_their_key_only)
{
    auto settings = default_settings();
    settings.operator_key_sha256 = http::key_digest("operator");
    start_front(settings);
    EXPECT_EQ(get("/v1/status")->status, 403);
    EXPECT_EQ(get("/v1/status", {{"Authorization", "Bearer key"}})->status,
              403);
    httplib::Headers const good = {{"Authorization", "Bearer operator"}};
    EXPECT_EQ(get("/v1/status", good)->body, R"({"vm":"a"})");
    httplib::Client client("127.0.0.1", front->port());
    EXPECT_EQ(client.Post("/v1/drain")->status, 403);
    EXPECT_EQ(drains.size(), 0U);
    EXPECT_EQ(client.Post("/v1/drain", good, "", "text/plain")->status, 202);
    EXPECT_EQ(drains.size(), 1U);
}

// Guards against a balancer that keeps sending to a VM that is not ready.
TEST_F(front_test, tells_liveness_and_readiness_apart)
{
    ready = false;
    start_front();
    EXPECT_EQ(get("/healthz")->status, 200);
    EXPECT_EQ(get("/readyz")->status, 503);
    EXPECT_EQ(get("/metrics")->body, "up 1\n");
    EXPECT_EQ(get("/v1/status")->status, 200);
    EXPECT_EQ(get("/nothing")->status, 404);
}

// Guards against requests without any proof of who sent them.
TEST_F(front_test, refuses_requests_without_a_bearer_key)
{
    start_front();
    EXPECT_EQ(post(good_body, {}).get()->status, 401);
    EXPECT_EQ(get("/v1/outcomes/k?organisation=a")->status, 401);
    EXPECT_EQ(sink.submitted.size() + sink.asked.size(), 0U);
}

} // namespace
} // namespace buckthornvale::serving::tests
