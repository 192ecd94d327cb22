#ifndef BUCKTHORNVALE_GATEWAY_STORE_STORE_WATCHER_HPP
#define BUCKTHORNVALE_GATEWAY_STORE_STORE_WATCHER_HPP

#include <buckthornvale/gateway/gateway_request.hpp>
#include <buckthornvale/gateway/store/object_update.hpp>
#include <buckthornvale/gateway/store/store_era.hpp>
#include <buckthornvale/net/timer.hpp>
#include <buckthornvale/platform/store_codec.hpp>

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace buckthornvale::gateway::store
{

using decision::duration;
using decision::time_point;
using net::clock_function;

//! Time after the wait of a watch until its answer counts as overdue.
constexpr duration watch_timeout_margin = std::chrono::milliseconds(300);

//! Timing of successive watches.
struct watch_timing
{
    //! Longest time from an answer of the store until the lack of the next one
    //! is noticed: the pause, the wait and `watch_timeout_margin`. The
    //! connection can be lost at any moment in between.
    duration max_silence{};
    duration pause{};              //!< between a change and the next watch
    duration pause_after_outage{}; //!< same, shortly after an outage

    //! If set, `max_silence` is this for the first watch after a change. For
    //! changes that come in bursts and have no bound.
    std::optional<duration> first_silence{};

    //! The objects are listed at the start and after a restore of the store,
    //! and not watched.
    bool lists_only = false;
};

//! Longest wait of a watch after an idle time of its connection.
duration watch_wait(duration max_silence, duration idle);

//! Follows all objects of one kind in the store: lists them, watches for
//! changes from the revision of the list, and lists again when the store has
//! compacted that revision or has come back from a copy. It also lists when the
//! changes since that revision are larger than a list: a link that is slower
//! than they come would never carry them all. A list that the store does not
//! continue is used as far as it was read, and is tried again after the next
//! watch.
//!
//! The answer to a watch can be lost without a sign, with its connection. So a
//! watch whose answer is overdue is given up, and the store is asked at once on
//! a new connection. Only if this fails too, the store counts as unreachable.
class store_watcher
{
public:
    struct callback_set
    {
        std::function<void(object_update const&)> updated;

        //! Receives the era that an answer states, and tells how it compares
        //! with that of other answers.
        std::function<era_order(std::optional<std::uint64_t> era)> observe_era;

        //! Called when the store becomes unreachable or reachable again.
        std::function<void(bool reachable, std::string const& reason)>
            reachable;

        //! Called when the answer to a watch is overdue, and the store is asked
        //! again on a new connection.
        std::function<void(duration since_answer)> overdue;

        //! Called when all objects are listed in place of changes that take
        //! more than `max_bytes`.
        std::function<void(std::uint64_t revision, std::size_t max_bytes)>
            changes_skipped;
    };

    store_watcher(asio::io_context& loop, net::http_client& client,
                  std::string address, platform::object_kind kind,
                  watch_timing timing, net::transfer_pace pace,
                  clock_function clock, callback_set callbacks);

    void start();

    //! Reads all objects anew, because the store has come back from a copy:
    //! what was read before, and its revision, belong to another history.
    void restart();

    //! Reads all objects anew.
    void list_anew();

    bool is_reachable() const { return reachable_; }

private:
    void request_list();
    void request_watch();
    void send(platform::store_request const& call, duration timeout,
              std::size_t max_answer_bytes);
    void handle_response(net::call_result const& result);
    bool is_overdue(net::call_result const& result) const;
    void ask_again();
    void retry_later(std::string const& reason);
    void continue_after(duration pause);
    void continue_now();
    void handle_list(std::string const& body);
    void finish_list(bool complete);
    void handle_changes(std::string const& body);
    std::size_t max_change_bytes() const;
    void skip_changes();
    void mark_reachable();
    void expect_changes();
    std::optional<time_point> failed_shortly_before(time_point now) const;

    net::http_client& client_;
    std::string const address_;
    platform::object_kind const kind_;
    watch_timing const timing_;
    net::transfer_pace const pace_;
    clock_function clock_;
    callback_set callbacks_;
    net::timer timer_;
    bool watching_ = false; //!< the call in progress is a watch
    bool reachable_ = true;
    bool overdue_ = false; //!< the last watch; its answer may be lost
    bool list_completed_ = false;
    bool restored_ = false; //!< not listed since the store came back
    time_point reachable_since_{};
    time_point answered_at_{};     //!< last answer of the store
    time_point call_started_at_{}; //!< of the last call
    time_point failed_after_{};    //!< the last failure came later
    duration max_silence_{};       //!< of the next watch
    std::uint32_t failed_calls_ = 0;
    net::call_id call_ = 0; //!< the last one
    std::uint64_t revision_ = 0;
    std::vector<std::string> list_cursors_; //!< of this list, the last in use
    std::size_t pages_bytes_ = 0;           //!< of this list, so far
    std::size_t list_bytes_ = 0;            //!< of the last complete list
    bool changes_skipped_ = false;          //!< since the last list
    std::vector<platform::stored_object> listed_objects_;
};

} // namespace buckthornvale::gateway::store

#endif
