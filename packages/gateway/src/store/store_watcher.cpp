#include <buckthornvale/gateway/store/store_watcher.hpp>

#include <algorithm>

namespace buckthornvale::gateway::store
{

namespace
{

using namespace std::chrono_literals;

constexpr duration list_timeout = 1500ms;
constexpr duration watch_slack = 1500ms;
constexpr duration connect_timeout = 500ms;

//! Wait and slack of a watch while the store is out of reach.
constexpr duration outage_wait = 200ms;
constexpr duration outage_slack = 800ms;
constexpr duration first_pause = 100ms;
constexpr duration longest_pause = 800ms;

//! Changes that come this soon after an outage may be entries that lapsed
//! while the store was away and that return.
constexpr duration outage_echo = 2200ms;

constexpr int status_gone = 410;

} // namespace

store_watcher::store_watcher(asio::io_context& loop, net::http_client& client,
                             std::string address, platform::object_kind kind,
                             watch_times times, clock_function clock,
                             callback_set callbacks)
    : client_(client), address_(std::move(address)), kind_(kind), times_(times),
      clock_(std::move(clock)), callbacks_(std::move(callbacks)), timer_(loop)
{
}

void store_watcher::start()
{
    call_list();
}

void store_watcher::call_list()
{
    watching_ = false;
    if (after_.empty())
        listed_.clear();
    send(platform::list_request(kind_, after_), list_timeout);
}

void store_watcher::call_watch()
{
    watching_ = true;
    // A call that a store out of reach has swallowed is never answered, so the
    // next one has to come soon after the store is back.
    auto const wait = reachable_ ? times_.wait : outage_wait;
    auto const slack = reachable_ ? watch_slack : outage_slack;
    send(platform::watch_request(kind_, revision_, wait), wait + slack);
}

void store_watcher::send(platform::store_request const& call, duration timeout)
{
    net::call_options options;
    options.connect_timeout = connect_timeout;
    options.timeout = timeout;
    make_call(client_, address_, {call.method, call.target, call.body, {}},
              options,
              [this](net::call_result const& result) { take_answer(result); });
}

void store_watcher::take_answer(net::call_result const& result)
{
    if (result.failure)
    {
        constexpr char const* names[] = {"no connection", "no answer",
                                         "answer broke off",
                                         "no answer in time"};
        retry_later(names[static_cast<std::size_t>(*result.failure)]);
        return;
    }
    int const status = result.head.status;
    // Any other refusal of the revision is met in the same way.
    bool const history_gone =
        status == status_gone || status == 400 || status == 404;
    if (watching_ && history_gone)
    {
        note_reachable();
        after_.clear();
        call_list();
    }
    else if (status != http::status_ok)
        retry_later("status " + std::to_string(status));
    else if (watching_)
        take_changes(result.body);
    else
        take_list(result.body);
}

void store_watcher::retry_later(std::string const& reason)
{
    if (reachable_)
    {
        reachable_ = false;
        callbacks_.reachable(false, reason);
    }
    auto const factor = 1U << std::min<std::uint32_t>(failures_, 3);
    ++failures_;
    go_on_after(std::min<duration>(first_pause * factor, longest_pause));
}

void store_watcher::go_on_after(duration pause)
{
    timer_.expires_after(pause);
    timer_.async_wait(
        [this](asio::error_code ec)
        {
            if (ec)
                return;
            if (ever_listed_ && after_.empty())
                call_watch();
            else
                call_list();
        });
}

void store_watcher::note_reachable()
{
    failures_ = 0;
    if (reachable_)
        return;
    reachable_ = true;
    regained_at_ = clock_();
    callbacks_.reachable(true, {});
}

bool store_watcher::after_outage(time_point now) const
{
    return regained_at_ != time_point() && now - regained_at_ < outage_echo;
}

void store_watcher::take_list(std::string const& body)
{
    auto page = platform::decode_list(body);
    if (!page.ok())
    {
        retry_later(std::string(page.status().message()));
        return;
    }
    note_reachable();
    std::move(page->objects.begin(), page->objects.end(),
              std::back_inserter(listed_));
    // A watch goes on from the first page: changes made meanwhile come again.
    if (after_.empty())
        revision_ = page->revision;
    if (page->truncated && !listed_.empty())
    {
        after_ = listed_.back().name;
        call_list();
        return;
    }
    after_.clear();
    ever_listed_ = true;
    callbacks_.listed(listed_, after_outage(clock_()));
    listed_.clear();
    call_watch();
}

void store_watcher::take_changes(std::string const& body)
{
    auto const page = platform::decode_changes(body);
    if (!page.ok())
    {
        retry_later(std::string(page.status().message()));
        return;
    }
    note_reachable();
    revision_ = std::max(revision_, page->revision);
    if (page->objects.empty())
    {
        call_watch();
        return;
    }
    bool const echo = after_outage(clock_());
    callbacks_.changed(page->objects, echo);
    go_on_after(echo ? times_.pause_after_outage : times_.pause);
}

} // namespace buckthornvale::gateway::store
