#include <buckthornvale/serving/http/json_text.hpp>
#include <buckthornvale/serving/upstream/bounded_fetch.hpp>
#include <buckthornvale/serving/upstream/runner_codec.hpp>
#include <buckthornvale/serving/upstream/upstream_pool.hpp>

#include <algorithm>

namespace buckthornvale::serving::upstream
{

namespace requests = decision::requests;

using requests::service_outcome_told;

namespace
{

service_outcome_told
unavailable_outcome(requests::ask_service_outcome const& query)
{
    service_outcome_told told;
    told.claim = query.claim;
    return told;
}

fetch_query post_to(std::string const& host, std::uint16_t port,
                    std::string path)
{
    fetch_query query;
    query.host = host;
    query.port = port;
    query.method = "POST";
    query.path = std::move(path);
    return query;
}

} // namespace

upstream_pool::upstream_pool(upstream_settings const& settings,
                             runner_listener& listener)
    : settings_(settings), listener_(listener),
      calls_(settings.max_calls, settings.max_queued_calls),
      controls_(settings.control_threads, settings.max_queued_controls)
{
}

upstream_pool::~upstream_pool()
{
    watch_.cancel_all();
    calls_.stop();
    controls_.stop();
}

void upstream_pool::start(requests::start_attempt attempt)
{
    auto const id = attempt.attempt;
    auto const call =
        std::make_shared<runner_call>(std::move(attempt), settings_.call,
                                      [this](requests::attempt_token token)
                                      { listener_.token(std::move(token)); });
    watch_.add(call);
    if (calls_.submit([this, call] { run(call); }))
        return;
    watch_.remove(id);
    requests::attempt_ended ended;
    ended.call = id;
    ended.answered = id;
    ended.result = requests::attempt_outcome::not_started;
    ended.detail = "this VM has no thread left for upstream calls";
    listener_.ended(std::move(ended));
}

void upstream_pool::run(std::shared_ptr<runner_call> const& call)
{
    auto ended = call->run();
    watch_.remove(call->attempt().attempt);
    listener_.ended(std::move(ended));
}

void upstream_pool::cancel(requests::cancel_attempt attempt)
{
    auto const call = watch_.cancel(attempt.attempt);
    if (!call)
        return;
    // Best effort: a cancel that finds no room is left to the runner, which
    // sees the closed connection.
    controls_.submit([this, call] { tell_cancelled(call->attempt()); });
}

void upstream_pool::tell_cancelled(requests::start_attempt const& attempt) const
{
    auto query = post_to(attempt.host, attempt.port, "/v1/cancel");
    query.body =
        http::write_json({{"attempt_id", decision::to_text(attempt.attempt)}});
    query.timeout = settings_.control_timeout;
    bounded_fetch(query);
}

void upstream_pool::ask(requests::ask_service_outcome query)
{
    auto const told = unavailable_outcome(query);
    auto const accepted =
        controls_.submit([this, query = std::move(query)]
                         { listener_.outcome_told(fetch_outcome(query)); });
    if (!accepted)
        listener_.outcome_told(told);
}

service_outcome_told
upstream_pool::fetch_outcome(requests::ask_service_outcome const& query) const
{
    auto told = unavailable_outcome(query);
    auto const path = httplib::append_query_params(
        "/v1/outcome", {{"key", query.idempotency_key}});
    fetch_query get;
    get.host = query.host;
    get.port = query.port;
    get.path = path;
    get.timeout = settings_.control_timeout;
    get.max_bytes = settings_.call.max_answer_bytes;
    auto const response = bounded_fetch(get);
    if (response && response->status == 200)
        parse_service_outcome(response->body, told);
    return told;
}

void upstream_pool::order(engine_order value)
{
    auto const rejected = order_answered{value, order_result::failed};
    auto const deadline = std::chrono::steady_clock::now() + value.valid_for;
    auto const accepted = controls_.submit(
        [this, deadline, value = std::move(value)] {
            listener_.ordered({value, send_order(value, deadline)});
        });
    if (!accepted)
        listener_.ordered(rejected);
}

order_result
upstream_pool::send_order(engine_order const& value,
                          std::chrono::steady_clock::time_point deadline) const
{
    auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(
        deadline - std::chrono::steady_clock::now());
    if (left <= std::chrono::milliseconds::zero())
        return order_result::failed;
    auto query = post_to(value.host, value.port, "/v1/orders");
    query.body = http::write_json({{"fencing", value.fencing},
                                   {"kind", value.kind},
                                   {"name", value.name}});
    query.timeout = std::min(left, settings_.control_timeout);
    auto const response = bounded_fetch(query);
    if (!response)
        return order_result::failed;
    if (response->status == 409)
        return order_result::stale_fencing;
    return response->status == 200 ? order_result::accepted
                                   : order_result::failed;
}

} // namespace buckthornvale::serving::upstream
