#include <buckthornvale/net/endpoint.hpp>
#include <buckthornvale/serving/upstream/load_poller.hpp>
#include <buckthornvale/serving/upstream/runner_codec.hpp>
#include <buckthornvale/serving/upstream/runner_request.hpp>

#include <absl/strings/str_cat.h>

namespace buckthornvale::serving::upstream
{

namespace requests = decision::requests;

using buckthornvale::http::status_ok;

namespace
{

//! Bounds how late a round starts or a time-out is noticed.
constexpr std::chrono::milliseconds tick_period{10};

bool same_place(polled_runner const& a, polled_runner const& b)
{
    return a.host == b.host && a.port == b.port && a.kind == b.kind;
}

bool is_complete(net::call_result const& answer)
{
    return !answer.failure && answer.head.status == status_ok;
}

} // namespace

load_poller::load_poller(poll_settings const& settings, load_listener& listener)
    : settings_(settings), listener_(listener),
      client_(loop_.loop(), net::steady_now)
{
    loop_.start(tick_period,
                [this](decision::time_point now) { check_times(now); });
}

load_poller::~load_poller()
{
    loop_.stop();
}

void load_poller::set_runners(std::vector<polled_runner> const& runners)
{
    loop_.post([this, runners] { assign(runners); });
}

void load_poller::assign(std::vector<polled_runner> const& runners)
{
    absl::flat_hash_map<decision::runner_id, state_ptr> next;
    for (auto const& it : runners)
    {
        auto const known = runners_.find(it.runner);
        if (known != runners_.end() && same_place(known->second->runner, it))
        {
            next[it.runner] = known->second;
            continue;
        }
        auto fresh = std::make_shared<state>();
        fresh->runner = it;
        next[it.runner] = std::move(fresh);
    }
    runners_ = std::move(next);
}

void load_poller::check_times(decision::time_point now)
{
    client_.check_times(now);
    if (now < next_round_)
        return;
    next_round_ = now + settings_.period;
    for (auto const& it : runners_)
        if (!it.second->in_flight)
            poll(it.second);
}

void load_poller::fetch(state const& target, std::string const& path,
                        net::call_done done)
{
    auto const address =
        net::endpoint_text(target.runner.host, target.runner.port);
    net::make_call(client_, address, runner_request("GET", path, address, {}),
                   own_connection(settings_.timeout), std::move(done));
}

void load_poller::poll(state_ptr const& target)
{
    target->in_flight = true;
    fetch(*target, "/v1/load",
          [this, target](net::call_result const& answer)
          {
              take_load(*target, answer);
              if (target->runner.kind == decision::runner_kind::engine)
                  poll_cache(target);
              else
                  target->in_flight = false;
          });
}

void load_poller::take_load(state& target, net::call_result const& answer)
{
    requests::runner_reported report;
    report.runner = target.runner.runner;
    bool const read = is_complete(answer) && parse_load(answer.body, report);
    // A lower sequence means that the engine restarted and numbers its cache
    // events anew; its cache is empty.
    if (read && report.sequence < target.last_sequence)
    {
        target.next_event = 0;
        requests::runner_cache_changed cleared;
        cleared.runner = target.runner.runner;
        cleared.change = requests::cache_change::clear;
        listener_.cache_changed(std::move(cleared));
    }
    if (read)
        target.last_sequence = report.sequence;
    listener_.reported(std::move(report));
}

void load_poller::poll_cache(state_ptr const& target)
{
    fetch(*target, absl::StrCat("/v1/cache_events?from=", target->next_event),
          [this, target](net::call_result const& answer)
          {
              take_cache(*target, answer);
              target->in_flight = false;
          });
}

void load_poller::take_cache(state& target, net::call_result const& answer)
{
    auto page = is_complete(answer)
                    ? parse_cache_page(answer.body, target.runner.runner)
                    : std::nullopt;
    if (!page)
        return;
    target.next_event = page->next;
    for (auto& it : page->events)
        listener_.cache_changed(std::move(it));
}

} // namespace buckthornvale::serving::upstream
