#include <buckthornvale/documents/json_text.hpp>
#include <buckthornvale/http/text.hpp>
#include <buckthornvale/net/endpoint.hpp>
#include <buckthornvale/serving/upstream/runner_codec.hpp>
#include <buckthornvale/serving/upstream/runner_request.hpp>
#include <buckthornvale/serving/upstream/upstream_pool.hpp>

#include <algorithm>
#include <vector>

namespace buckthornvale::serving::upstream
{

namespace requests = decision::requests;

using buckthornvale::http::status_ok;
using requests::service_outcome_received;

namespace
{

//! Bounds how late the end of a budget is noticed.
constexpr std::chrono::milliseconds tick_period{5};

constexpr int conflict_status = 409;

order_result result_of(net::call_result const& answer)
{
    if (answer.failure)
        return order_result::failed;
    if (answer.head.status == conflict_status)
        return order_result::stale_fencing;
    return answer.head.status == status_ok ? order_result::accepted
                                           : order_result::failed;
}

} // namespace

upstream_pool::upstream_pool(upstream_settings const& settings,
                             runner_listener& listener)
    : settings_(settings), listener_(listener),
      client_(loop_.loop(), net::steady_now)
{
    loop_.start(tick_period,
                [this](decision::time_point now) { client_.check_times(now); });
}

upstream_pool::~upstream_pool()
{
    loop_.run(
        [this]
        {
            std::vector<call_ptr> all;
            for (auto const& it : calls_)
                all.push_back(it.second);
            queue_.clear();
            for (auto const& it : all)
                it->end(requests::attempt_outcome::cancelled, "shutdown");
        });
    loop_.stop();
}

void upstream_pool::start(requests::start_attempt attempt)
{
    loop_.post([this, now = net::steady_now(), attempt = std::move(attempt)]
               { admit(attempt, now); });
}

void upstream_pool::admit(requests::start_attempt attempt,
                          decision::time_point now)
{
    auto const id = attempt.attempt;
    auto const call = std::make_shared<runner_call>(
        std::move(attempt), settings_.call, now,
        [this](requests::attempt_token token)
        { listener_.token(std::move(token)); },
        [this](requests::attempt_ended message)
        { call_ended(std::move(message)); });
    calls_[id] = call;
    if (calls_.size() - queue_.size() <= settings_.max_calls)
        call->start(client_, net::steady_now());
    else if (queue_.size() < settings_.max_queued_calls)
        queue_.push_back(call);
    else
        call->end(requests::attempt_outcome::not_started,
                  "this VM has no room left for upstream calls");
}

void upstream_pool::call_ended(requests::attempt_ended message)
{
    auto const found = calls_.find(message.call);
    if (found != calls_.end())
    {
        // The call may be in one of its own functions.
        loop_.post([keep = std::move(found->second)] {});
        calls_.erase(found);
    }
    listener_.ended(std::move(message));
    loop_.post([this] { start_queued(); });
}

void upstream_pool::start_queued()
{
    while (!queue_.empty() &&
           calls_.size() - queue_.size() < settings_.max_calls)
    {
        auto const call = std::move(queue_.front());
        queue_.pop_front();
        call->start(client_, net::steady_now());
    }
}

void upstream_pool::cancel(requests::cancel_attempt attempt)
{
    loop_.post([this, id = attempt.attempt] { abandon(id); });
}

void upstream_pool::abandon(decision::attempt_id id)
{
    auto const found = calls_.find(id);
    if (found == calls_.end())
        return;
    auto const call = found->second;
    queue_.erase(std::remove(queue_.begin(), queue_.end(), call), queue_.end());
    call->end(requests::attempt_outcome::cancelled, "cancelled");
    // Best effort: a cancel that finds no room is left to the runner, which
    // sees the closed connection.
    if (call->sent())
        tell_cancelled(call->attempt());
}

void upstream_pool::control(std::string const& address,
                            net::short_request request,
                            decision::duration timeout, net::call_done done)
{
    if (controls_ >= settings_.max_controls)
    {
        net::call_result full;
        full.failure = net::call_failure::not_sent;
        done(full);
        return;
    }
    ++controls_;
    net::make_call(client_, address, std::move(request),
                   own_connection(timeout),
                   [this, done = std::move(done)](net::call_result const& it)
                   {
                       --controls_;
                       done(it);
                   });
}

void upstream_pool::tell_cancelled(requests::start_attempt const& attempt)
{
    auto const address = net::endpoint_text(attempt.host, attempt.port);
    control(address,
            runner_request(
                "POST", "/v1/cancel", address,
                documents::write_json(
                    {{"attempt_id", decision::to_text(attempt.attempt)}})),
            settings_.control_timeout, [](net::call_result const&) {});
}

void upstream_pool::ask(requests::query_service_outcome query)
{
    loop_.post([this, query = std::move(query)] { fetch_outcome(query); });
}

void upstream_pool::fetch_outcome(requests::query_service_outcome const& query)
{
    auto const address = net::endpoint_text(query.host, query.port);
    auto request = runner_request(
        "GET",
        "/v1/outcome?key=" +
            buckthornvale::http::percent_encoded(query.idempotency_key),
        address, {});
    request.max_answer_bytes = settings_.call.max_answer_bytes;
    service_outcome_received told;
    told.claim = query.claim;
    control(address, std::move(request), settings_.control_timeout,
            [this, told](net::call_result const& answer)
            {
                auto message = told;
                if (!answer.failure && answer.head.status == status_ok)
                    parse_service_outcome(answer.body, message);
                listener_.outcome_told(std::move(message));
            });
}

void upstream_pool::order(engine_order value)
{
    auto const deadline = net::steady_now() + value.valid_for;
    loop_.post([this, deadline, value = std::move(value)]
               { send_order(value, deadline); });
}

void upstream_pool::send_order(engine_order const& value,
                               decision::time_point deadline)
{
    auto const left = deadline - net::steady_now();
    if (left <= decision::duration::zero())
    {
        listener_.ordered({value, order_result::failed});
        return;
    }
    auto const address = net::endpoint_text(value.host, value.port);
    auto body = documents::write_json({{"fencing", value.fencing},
                                       {"kind", value.kind},
                                       {"name", value.name}});
    control(address,
            runner_request("POST", "/v1/orders", address, std::move(body)),
            std::min<decision::duration>(left, settings_.control_timeout),
            [this, value](net::call_result const& answer) {
                listener_.ordered({value, result_of(answer)});
            });
}

} // namespace buckthornvale::serving::upstream
