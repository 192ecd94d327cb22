#include "reducer_fixture.hpp"

namespace buckthornvale::decision::gateway
{

using namespace std::chrono_literals;

namespace
{

transport_end transport_of(attempt_outcome outcome)
{
    switch (outcome)
    {
    case attempt_outcome::not_sent:
        return transport_end::not_sent;
    case attempt_outcome::no_answer:
        return transport_end::no_answer;
    case attempt_outcome::interrupted:
        return transport_end::broken_off;
    case attempt_outcome::answered:
    case attempt_outcome::refused:
        break;
    }
    return transport_end::complete;
}

} // namespace

gateway_settings reducer_fixture::default_settings()
{
    return {"vm-0", "north", 2s, 0s, 3s, {0.2, 40, 10s}};
}

reducer_fixture::reducer_fixture(gateway_settings settings)
    : gateway(std::move(settings))
{
    feed(manifest_changed{make_manifest(1)});
    feed(members_listed{{{"vm-0", "10.0.1.1:80", "north", 1, 1}}});
    runners_listed runners;
    for (auto const* id : {"plain-1", "plain-2", "plain-3"})
        runners.runners.push_back(make_runner(id, "plain"));
    for (auto const* id : {"engine-1", "engine-2", "engine-3"})
        runners.runners.push_back(make_runner(id, "engine"));
    for (auto const* id : {"stage-1", "stage-2"})
        runners.runners.push_back(make_runner(id, "stage"));
    feed(runners);
}

effects reducer_fixture::feed(event const& input)
{
    return gateway.reduce(input, now);
}

effects reducer_fixture::advance(duration by)
{
    effects out;
    auto const end = now + by;
    while (now < end)
    {
        now = std::min<time_point>(now + 20ms, end);
        auto more = feed(timer_fired{now});
        std::move(more.begin(), more.end(), std::back_inserter(out));
    }
    return out;
}

effects reducer_fixture::arrive(std::string const& path, duration time_left,
                                bool on_reused_connection)
{
    request_arrived in;
    in.request = ++last_request;
    in.traits.id = "id-" + std::to_string(last_request);
    in.traits.method = "POST";
    in.traits.host = "h";
    in.traits.path = path;
    in.traits.key = "key";
    in.traits.time_left = time_left;
    in.traits.on_reused_connection = on_reused_connection;
    next_attempt = 1;
    return feed(in);
}

effects reducer_fixture::end_attempt(attempt_outcome outcome, int status,
                                     bool sealed)
{
    attempt_ended in;
    in.request = last_request;
    in.attempt = next_attempt++;
    in.transport = transport_of(outcome);
    in.identified = true;
    in.not_executed = outcome == attempt_outcome::refused;
    in.status = status;
    in.sealed = sealed;
    in.reset = outcome != attempt_outcome::answered;
    return feed(in);
}

runner reducer_fixture::make_runner(std::string id, std::string service)
{
    runner out;
    out.address =
        "10.0.0." + std::to_string(std::hash<std::string>()(id)) + ":80";
    out.id = std::move(id);
    out.service = std::move(service);
    out.failure_domain = "north";
    out.slots = 8;
    out.started_at_ms = 1;
    return out;
}

std::shared_ptr<manifest> reducer_fixture::make_manifest(std::uint64_t version)
{
    auto out = std::make_shared<manifest>();
    out->version = version;
    service plain;
    plain.name = "plain";
    service engine;
    engine.name = "engine";
    engine.engine = engine_limits{8, 1000};
    service stage;
    stage.name = "stage";
    stage.pieces = piece_limits{1, 2, 8, 200ms, 5ms, 1e6, 4s};
    for (auto const& it : {plain, engine, stage})
        out->services[it.name] = it;
    auto const add = [&](char const* path, request_kind kind, char const* name,
                         std::uint32_t attempts)
    {
        route it;
        it.name = path;
        it.host = "h";
        it.path_prefix = path;
        it.kind = kind;
        it.timeout = 6s;
        it.target_latency = 1s;
        it.services = {{name, 1}};
        it.max_attempts = attempts;
        it.max_event_gap = 300ms;
        return it;
    };
    out->add_route(add("/book/", request_kind::at_most_once, "plain", 1));
    out->add_route(add("/read/", request_kind::idempotent, "plain", 2));
    out->add_route(add("/stream/", request_kind::stream, "engine", 1));
    auto resumable = add("/resume/", request_kind::stream, "engine", 2);
    resumable.resumable = true;
    out->add_route(resumable);
    auto resumable_staged =
        add("/resume-staged/", request_kind::stream, "engine", 2);
    resumable_staged.resumable = true;
    resumable_staged.stages = {{"stage", {}, 1000}};
    out->add_route(resumable_staged);
    auto staged = add("/staged/", request_kind::stream, "engine", 1);
    staged.stages = {{"stage", {}, 1000}};
    out->add_route(staged);
    organisation owner;
    owner.name = "org";
    out->add_key("key", owner);
    return out;
}

} // namespace buckthornvale::decision::gateway
