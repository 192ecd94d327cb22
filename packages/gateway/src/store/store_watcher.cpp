#include <buckthornvale/gateway/store/store_watcher.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace buckthornvale::gateway::store
{

namespace
{

using namespace std::chrono_literals;

constexpr duration list_timeout = 1500ms; //!< until an answer begins
constexpr duration connect_timeout = 500ms;

constexpr duration min_watch_wait = 100ms;
constexpr duration max_watch_wait = 30s; //!< longest that a store accepts

//! Wait and timeout margin of a watch while the store is unreachable.
constexpr duration outage_watch_wait = 200ms;
constexpr duration outage_watch_timeout_margin = 800ms;

//! Timeout margin of the watch after one that was overdue. A store that is slow
//! is not unreachable.
constexpr duration second_watch_timeout_margin = 1s;

//! A connection is marked as idle slightly before its answer is handled.
constexpr duration idle_tolerance = 50ms;
constexpr duration min_retry_delay = 100ms;
constexpr duration max_retry_delay = 800ms;

//! Time after an outage during which a removed entry may come back: entries
//! that expired while the store was unreachable are written again.
constexpr duration recovery_period = 2200ms;

//! A page of a list has about 1 MB.
constexpr std::size_t max_page_bytes = 16'777'216;

//! Changes that take more than this multiple of a list cost more than a list.
constexpr std::size_t max_changes_per_list = 2;

//! So few bytes cost less than another call.
constexpr std::size_t small_answer_bytes = 65'536;

constexpr int status_gone = 410;

//! Statuses with which a store refuses the revision or the cursor of a call.
constexpr std::array<int, 5> refusals = {400, 404, status_gone, 414, 431};

bool is_refusal(int status)
{
    return std::find(refusals.begin(), refusals.end(), status) !=
           refusals.end();
}

} // namespace

duration watch_wait(duration max_silence, duration idle)
{
    return std::clamp(max_silence - idle - watch_timeout_margin, min_watch_wait,
                      max_watch_wait);
}

store_watcher::store_watcher(asio::io_context& loop, net::http_client& client,
                             std::string address, platform::object_kind kind,
                             watch_timing timing, net::transfer_pace pace,
                             clock_function clock, callback_set callbacks)
    : client_(client), address_(std::move(address)), kind_(kind),
      timing_(timing), pace_(pace), clock_(std::move(clock)),
      callbacks_(std::move(callbacks)), timer_(loop)
{
}

void store_watcher::start()
{
    answered_at_ = clock_();
    expect_changes();
    request_list();
}

void store_watcher::expect_changes()
{
    max_silence_ = timing_.first_silence.value_or(timing_.max_silence);
}

void store_watcher::restart()
{
    restored_ = true;
    if (reachable_)
    {
        // The store was away, whether a call failed meanwhile or not.
        failed_after_ = answered_at_;
        reachable_since_ = clock_();
    }
    list_anew();
}

void store_watcher::list_anew()
{
    client_.cancel(call_);
    // The answer to that call may have been lost, and others with it.
    client_.forget(address_);
    timer_.stop();
    list_completed_ = false;
    list_cursors_.clear();
    request_list();
}

void store_watcher::request_list()
{
    watching_ = false;
    if (list_cursors_.empty())
    {
        listed_objects_.clear();
        pages_bytes_ = 0;
    }
    auto const cursor =
        list_cursors_.empty() ? std::string() : list_cursors_.back();
    send(platform::list_request(kind_, cursor), list_timeout, max_page_bytes);
}

void store_watcher::request_watch()
{
    watching_ = true;
    auto wait = watch_wait(max_silence_, clock_() - answered_at_);
    auto margin = watch_timeout_margin;
    // A request that was lost is never answered, so the timeout is short in
    // order to learn soon what was missed, or that the store is back.
    if (overdue_ || !reachable_)
    {
        wait = outage_watch_wait;
        margin = reachable_ ? second_watch_timeout_margin
                            : outage_watch_timeout_margin;
    }
    send(platform::watch_request(kind_, revision_, wait), wait + margin,
         max_change_bytes());
}

std::size_t store_watcher::max_change_bytes() const
{
    return std::clamp(list_bytes_ * max_changes_per_list, small_answer_bytes,
                      max_page_bytes);
}

void store_watcher::send(platform::store_request const& call, duration timeout,
                         std::size_t max_answer_bytes)
{
    call_started_at_ = clock_();
    net::call_options options;
    options.connect_timeout = connect_timeout;
    options.timeout = timeout;
    options.pace = pace_;
    // A connection that was idle at the last answer may have been lost before.
    options.max_idle = call_started_at_ - answered_at_ + idle_tolerance;
    call_ = make_call(
        client_, address_,
        {call.method, call.target, call.body, {}, max_answer_bytes}, options,
        [this](net::call_result const& result) { handle_response(result); });
}

void store_watcher::handle_response(net::call_result const& result)
{
    if (result.failure && !result.too_large)
    {
        // What broke this connection may have broken the idle ones too.
        client_.forget(address_);
        if (is_overdue(result))
        {
            ask_again();
            return;
        }
        constexpr char const* failure_texts[] = {
            "connection failed", "no response", "response interrupted",
            "timed out"};
        retry_later(failure_texts[static_cast<std::size_t>(*result.failure)]);
        return;
    }
    switch (callbacks_.observe_era(platform::decode_store_era(result.head)))
    {
    case era_order::current:
        break;
    case era_order::risen:
        return; // `restart` was called
    case era_order::former:
        retry_later("answer of a former era");
        return;
    }
    int const status = result.head.status;
    if (watching_ && is_refusal(status))
    {
        mark_reachable();
        list_anew();
    }
    else if (!list_cursors_.empty() && is_refusal(status))
    {
        mark_reachable();
        finish_list(false);
    }
    else if (status != http::status_ok)
        retry_later("status " + std::to_string(status));
    else if (result.too_large && watching_)
        skip_changes();
    else if (result.too_large)
        retry_later("page too large");
    else if (watching_)
        handle_changes(result.body);
    else
        handle_list(result.body);
}

bool store_watcher::is_overdue(net::call_result const& result) const
{
    return watching_ && reachable_ && !overdue_ &&
           result.failure == net::call_failure::timed_out;
}

void store_watcher::ask_again()
{
    overdue_ = true;
    // The store may have been away since its last answer.
    failed_after_ = answered_at_;
    callbacks_.overdue(clock_() - answered_at_);
    request_watch();
}

void store_watcher::retry_later(std::string const& reason)
{
    // The connection of the first call that fails may have been broken while it
    // was idle.
    bool const first = failed_calls_ == 0 && !overdue_;
    failed_after_ = first ? answered_at_ : call_started_at_;
    if (reachable_)
    {
        reachable_ = false;
        callbacks_.reachable(false, reason);
    }
    auto const factor = 1U << std::min<std::uint32_t>(failed_calls_, 3);
    ++failed_calls_;
    continue_after(
        std::min<duration>(min_retry_delay * factor, max_retry_delay));
}

void store_watcher::continue_after(duration pause)
{
    timer_.start(pause, [this] { continue_now(); });
}

void store_watcher::continue_now()
{
    if (list_completed_)
        request_watch();
    else
        request_list();
}

void store_watcher::mark_reachable()
{
    failed_calls_ = 0;
    answered_at_ = clock_();
    if (std::exchange(overdue_, false))
        reachable_since_ = answered_at_;
    if (reachable_)
        return;
    reachable_ = true;
    reachable_since_ = answered_at_;
    callbacks_.reachable(true, {});
}

std::optional<time_point>
store_watcher::failed_shortly_before(time_point now) const
{
    if (reachable_since_ == time_point() ||
        now - reachable_since_ >= recovery_period)
        return std::nullopt;
    return failed_after_;
}

void store_watcher::skip_changes()
{
    mark_reachable();
    callbacks_.changes_skipped(revision_, max_change_bytes());
    changes_skipped_ = true;
    list_anew();
}

void store_watcher::handle_list(std::string const& body)
{
    pages_bytes_ += body.size();
    auto page = platform::decode_list(body);
    if (!page.ok())
    {
        retry_later(std::string(page.status().message()));
        return;
    }
    mark_reachable();
    std::move(page->objects.begin(), page->objects.end(),
              std::back_inserter(listed_objects_));
    // The watch starts from the revision of the first page, so changes made
    // while later pages were read are delivered again.
    if (list_cursors_.empty())
        revision_ = page->revision;
    bool const can_continue =
        !page->cursor.empty() &&
        std::find(list_cursors_.begin(), list_cursors_.end(), page->cursor) ==
            list_cursors_.end();
    if (!page->truncated || !can_continue)
    {
        finish_list(!page->truncated);
        return;
    }
    list_cursors_.push_back(std::move(page->cursor));
    request_list();
}

void store_watcher::finish_list(bool complete)
{
    list_cursors_.clear();
    list_completed_ = complete;
    object_update update;
    update.objects = std::exchange(listed_objects_, {});
    update.listed = complete;
    update.unfinished = !complete;
    update.revision = revision_;
    update.failed_after = failed_shortly_before(clock_());
    if (complete)
    {
        update.restored = std::exchange(restored_, false);
        list_bytes_ = pages_bytes_;
    }
    expect_changes();
    callbacks_.updated(update);
    if (timing_.lists_only)
        return;
    // The next changes may be too large again.
    if (std::exchange(changes_skipped_, false))
        continue_after(timing_.pause);
    else
        request_watch();
}

void store_watcher::handle_changes(std::string const& body)
{
    auto page = platform::decode_changes(body);
    if (!page.ok())
    {
        retry_later(std::string(page.status().message()));
        return;
    }
    mark_reachable();
    revision_ = std::max(revision_, page->revision);
    // Changes that cannot be read may come as often as others.
    if (page->objects.empty() && page->unnamed == 0)
    {
        max_silence_ = timing_.max_silence;
        continue_now();
        return;
    }
    expect_changes();
    object_update update;
    update.objects = std::move(page->objects);
    update.revision = revision_;
    update.failed_after = failed_shortly_before(clock_());
    callbacks_.updated(update);
    continue_after(update.failed_after ? timing_.pause_after_outage
                                       : timing_.pause);
}

} // namespace buckthornvale::gateway::store
