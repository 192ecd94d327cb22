#include <buckthornvale/serving/upstream/bounded_fetch.hpp>
#include <buckthornvale/serving/upstream/load_poller.hpp>
#include <buckthornvale/serving/upstream/runner_codec.hpp>

#include <absl/strings/str_cat.h>

namespace buckthornvale::serving::upstream
{

namespace requests = decision::requests;

namespace
{

constexpr std::size_t max_queued_polls = 4096;
constexpr int ok_status = 200;

bool same_place(polled_runner const& a, polled_runner const& b)
{
    return a.host == b.host && a.port == b.port && a.kind == b.kind;
}

} // namespace

load_poller::load_poller(poll_settings const& settings, load_listener& listener)
    : settings_(settings), listener_(listener),
      workers_(settings.max_concurrent, max_queued_polls),
      scheduler_([this] { work(); })
{
}

load_poller::~load_poller()
{
    {
        std::lock_guard lock(mutex_);
        stopped_ = true;
    }
    changed_.notify_all();
    scheduler_.join();
    workers_.stop();
}

void load_poller::set_runners(std::vector<polled_runner> const& runners)
{
    std::lock_guard lock(mutex_);
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

void load_poller::work()
{
    auto next = std::chrono::steady_clock::now();
    std::unique_lock lock(mutex_);
    while (!stopped_)
    {
        start_round();
        next += settings_.period;
        changed_.wait_until(lock, next, [&] { return stopped_; });
    }
}

void load_poller::start_round()
{
    for (auto const& it : runners_)
    {
        auto const target = it.second;
        if (target->in_flight)
            continue;
        target->in_flight = workers_.submit([this, target] { poll(*target); });
    }
}

void load_poller::poll(state& target)
{
    {
        std::lock_guard lock(mutex_);
        if (stopped_)
            return;
    }
    poll_load(target);
    if (target.runner.kind == decision::runner_kind::engine)
        poll_cache(target);
    std::lock_guard lock(mutex_);
    target.in_flight = false;
}

void load_poller::poll_load(state& target)
{
    fetch_query query;
    query.host = target.runner.host;
    query.port = target.runner.port;
    query.path = "/v1/load";
    query.timeout = settings_.timeout;
    auto const response = bounded_fetch(query);
    requests::runner_reported report;
    report.runner = target.runner.runner;
    auto const read = response && response->status == ok_status &&
                      parse_load(response->body, report);
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

void load_poller::poll_cache(state& target)
{
    fetch_query query;
    query.host = target.runner.host;
    query.port = target.runner.port;
    query.path = absl::StrCat("/v1/cache_events?from=", target.next_event);
    query.timeout = settings_.timeout;
    auto const response = bounded_fetch(query);
    if (!response || response->status != ok_status)
        return;
    auto page = parse_cache_page(response->body, target.runner.runner);
    if (!page)
        return;
    target.next_event = page->next;
    for (auto& it : page->events)
        listener_.cache_changed(std::move(it));
}

} // namespace buckthornvale::serving::upstream
