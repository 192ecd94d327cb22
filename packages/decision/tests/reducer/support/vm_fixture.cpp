#include "vm_fixture.hpp"

#include <gtest/gtest.h>

#include <utility>

namespace buckthornvale::decision::testing
{

namespace
{

constexpr char key_digest[] = "0123456789abcdef0123456789abcdef"
                              "0123456789abcdef0123456789abcdef";

stage_settings stage(std::string name, std::string pool,
                     std::vector<std::string> after)
{
    stage_settings value;
    value.name = std::move(name);
    value.pool = std::move(pool);
    value.after = std::move(after);
    value.expected = std::chrono::milliseconds(10);
    return value;
}

pool_settings pool(std::string const& name, runner_kind kind, int runners)
{
    pool_settings value;
    value.name = name;
    value.kind = kind;
    value.resumes_streams = kind == runner_kind::engine;
    for (int n = 1; n <= runners; ++n)
    {
        runner_settings runner;
        runner.name = name + "-" + std::to_string(n);
        runner.host = "127.0.0.1";
        runner.port = static_cast<std::uint16_t>(n);
        runner.failure_domain = "north";
        runner.slots = 8.;
        value.runners.push_back(runner);
    }
    return value;
}

pipeline_settings pipeline(std::string name, std::vector<stage_settings> stages)
{
    pipeline_settings value;
    value.name = std::move(name);
    value.deadline = std::chrono::seconds(10);
    value.stages = std::move(stages);
    return value;
}

reducer_settings settings_of(std::string const& name)
{
    reducer_settings settings;
    settings.vm = name;
    settings.failure_domain = "north";
    settings.incarnation = stable_hash(name);
    settings.seed = 7;
    return settings;
}

} // namespace

bookings::store_answer fake_store::apply(bookings::read_object const& call)
{
    bookings::store_answer answer;
    answer.token = call.token;
    answer.status = bookings::store_status::unavailable;
    if (outage)
        return answer;
    auto const it = objects_.find(call.path);
    answer.status = it == objects_.end() ? bookings::store_status::absent
                                         : bookings::store_status::ok;
    if (it != objects_.end())
    {
        answer.version = it->second.version;
        answer.value = it->second.value;
    }
    return answer;
}

bookings::store_answer fake_store::apply(bookings::write_object const& call)
{
    bookings::store_answer answer;
    answer.token = call.token;
    answer.status = bookings::store_status::unavailable;
    if (outage)
        return answer;
    auto& object = objects_[call.path];
    if (object.version != call.expected_version)
    {
        answer.status = bookings::store_status::conflict;
        answer.version = object.version;
        answer.value = object.value;
        return answer;
    }
    object.version = ++revision_;
    object.value = call.value;
    ++writes;
    answer.status = bookings::store_status::ok;
    answer.version = object.version;
    if (lost_answers_left > 0)
    {
        --lost_answers_left;
        answer = {};
        answer.token = call.token;
        answer.status = bookings::store_status::unknown;
    }
    return answer;
}

bookings::store_answer fake_store::apply(bookings::delete_object const& call)
{
    objects_.erase(call.path);
    bookings::store_answer answer;
    answer.token = call.token;
    answer.status = bookings::store_status::ok;
    answer.version = ++revision_;
    return answer;
}

fleet_settings test_settings(int runners)
{
    fleet_settings settings;
    settings.revision = 1;
    for (auto it : all_ranks)
    {
        settings.ranks[index_of(it)].target = std::chrono::seconds(1);
        settings.ranks[index_of(it)].guaranteed_share = 0.3;
    }
    settings.pools["engines"] = pool("engines", runner_kind::engine, runners);
    settings.pools["engines"].models = {"small"};
    settings.pools["services"] =
        pool("services", runner_kind::service, runners);

    auto generate = stage("generate", "engines", {"encode"});
    generate.stream = true;
    generate.model = "small";
    settings.pipelines["answer"] =
        pipeline("answer", {stage("encode", "engines", {}), generate});
    settings.pipelines["fan"] = pipeline(
        "fan", {stage("left", "services", {}), stage("right", "services", {}),
                stage("join", "services", {"left", "right"})});
    auto book = stage("book", "services", {"encode"});
    book.repeatable = false;
    settings.pipelines["booking"] =
        pipeline("booking", {stage("encode", "engines", {}), book});

    organisation_settings organisation;
    organisation.name = "clearers";
    organisation.key_sha256 = key_digest;
    settings.organisations["clearers"] = organisation;
    return settings;
}

vm_fixture::vm_fixture(fake_store& store, std::string const& name, int runners)
    : vm(settings_of(name)), store_(store), settings_(test_settings(runners)),
      incarnation_(stable_hash(name))
{
    using requests::settings_kind;
    requests::settings_installed installed;
    installed.settings = &settings_;
    installed.changes = {{settings_kind::ranks, {}},
                         {settings_kind::pool, "engines"},
                         {settings_kind::pool, "services"},
                         {settings_kind::pipeline, "answer"},
                         {settings_kind::pipeline, "fan"},
                         {settings_kind::pipeline, "booking"},
                         {settings_kind::organisation, "clearers"}};
    post(installed);
    advance(std::chrono::milliseconds(10));
}

void vm_fixture::post(event value)
{
    effects out;
    vm.reduce(value, now, out);
    execute(out);
}

void vm_fixture::advance(duration by)
{
    constexpr duration step = std::chrono::milliseconds(10);
    auto const end = now + by;
    while (now < end)
    {
        auto const length = std::min(step, end - now);
        now += length;
        wall += std::chrono::ceil<std::chrono::milliseconds>(length);
        post(ticked{wall});
    }
}

void vm_fixture::execute(effects& out)
{
    for (auto& effect : out)
    {
        if (auto* const answer = std::get_if<requests::send_answer>(&effect))
        {
            ++answer_counts[answer->request];
            answers[answer->request] = answer->body;
        }
        else if (auto* const token = std::get_if<requests::send_token>(&effect))
            tokens.push_back(*token);
        else if (auto* const start =
                     std::get_if<requests::start_attempt>(&effect))
            attempts.push_back(*start);
        else if (auto* const cancel =
                     std::get_if<requests::cancel_attempt>(&effect))
            cancels.push_back(*cancel);
        else if (auto* const count =
                     std::get_if<requests::event_counted>(&effect))
            counts_[count->which] += count->amount;
        else if (auto* const read = std::get_if<bookings::read_object>(&effect))
            post(store_.apply(*read));
        else if (auto* const write =
                     std::get_if<bookings::write_object>(&effect))
            post(store_.apply(*write));
        else if (auto* const lease = std::get_if<read_lease_object>(&effect))
            answer_lease(lease->pool, lease->call,
                         store_.apply(bookings::read_object{0, lease->path}));
        else if (auto* const renew = std::get_if<write_lease_object>(&effect))
            answer_lease(
                renew->pool, renew->call,
                store_.apply(bookings::write_object{
                    0, renew->path, renew->expected_version, renew->value}));
        else if (auto* const order = std::get_if<send_order>(&effect))
            orders.push_back(*order);
        else if (auto* const wanted = std::get_if<set_peer_targets>(&effect))
            targets = *wanted;
        else if (auto* const remove =
                     std::get_if<bookings::delete_object>(&effect))
            post(store_.apply(*remove));
    }
}

void vm_fixture::answer_lease(pool_id pool, std::uint64_t call,
                              bookings::store_answer const& answer)
{
    lease_call_answered event;
    event.pool = pool;
    event.call = call;
    event.version = answer.version;
    event.value = answer.value;
    switch (answer.status)
    {
    case bookings::store_status::ok:
        event.status = leases::lease_status::ok;
        break;
    case bookings::store_status::absent:
        event.status = leases::lease_status::absent;
        break;
    case bookings::store_status::conflict:
        event.status = leases::lease_status::conflict;
        break;
    default:
        event.status = leases::lease_status::unknown;
    }
    post(event);
}

request_id vm_fixture::send(std::string const& pipeline, std::string const& key,
                            bool stream, std::string const& input)
{
    requests::request_received event;
    event.request = {incarnation_, ++next_request_};
    event.call.pipeline = pipeline;
    event.call.organisation = "clearers";
    event.call.key_sha256 = key_digest;
    event.call.work_rank = rank::urgent;
    event.call.deadline = std::chrono::seconds(5);
    event.call.idempotency_key = key;
    if (!key.empty())
        event.call.issued_at = wall_time(std::chrono::hours(500000));
    event.call.stream = stream;
    event.call.input = input;
    event.received_at = wall;
    post(event);
    return event.request;
}

void vm_fixture::complete(requests::start_attempt const& attempt,
                          std::string const& output)
{
    complete_as(attempt, attempt, output);
}

void vm_fixture::complete_as(requests::start_attempt const& call,
                             requests::start_attempt const& answered,
                             std::string const& output)
{
    requests::attempt_ended event;
    event.call = call.attempt;
    event.answered_attempt = answered.attempt;
    event.result = requests::attempt_outcome::completed;
    event.output = output;
    event.took = std::chrono::milliseconds(5);
    post(event);
}

void vm_fixture::fail(requests::start_attempt const& attempt,
                      requests::attempt_outcome how, bool crashed)
{
    requests::attempt_ended event;
    event.call = attempt.attempt;
    event.answered_attempt = attempt.attempt;
    event.result = how;
    event.runner_crashed = crashed;
    event.took = std::chrono::milliseconds(5);
    post(event);
}

void vm_fixture::token(requests::start_attempt const& attempt,
                       std::uint64_t index, std::string const& text)
{
    post(
        requests::attempt_token{attempt.attempt, attempt.attempt, index, text});
}

void vm_fixture::end_stream(requests::start_attempt const& attempt,
                            std::uint64_t count)
{
    requests::attempt_ended event;
    event.call = attempt.attempt;
    event.answered_attempt = attempt.attempt;
    event.result = requests::attempt_outcome::completed;
    event.token_count = count;
    event.took = std::chrono::milliseconds(5);
    post(event);
}

requests::start_attempt vm_fixture::next_attempt()
{
    if (attempts.empty())
    {
        ADD_FAILURE() << "no attempt was started";
        return {};
    }
    auto first = attempts.front();
    attempts.erase(attempts.begin());
    return first;
}

double vm_fixture::counted(requests::counter which) const
{
    auto const it = counts_.find(which);
    return it == counts_.end() ? 0. : it->second;
}

} // namespace buckthornvale::decision::testing
