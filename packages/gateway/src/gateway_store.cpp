#include "control_handler.hpp"
#include <buckthornvale/gateway/gateway_process.hpp>
#include <buckthornvale/gateway/store/store_timing.hpp>
#include <buckthornvale/gateway/transfer_time.hpp>

#include <algorithm>

namespace buckthornvale::gateway
{

namespace
{

using namespace std::chrono_literals;
namespace model = decision::gateway;
using decision::duration;

constexpr duration write_timeout = 1500ms; //!< until the answer begins
constexpr duration registration_retry_delay = 700ms;

//! Entries of runners that do not renew them lapse after some intervals. This
//! long after that, the store has removed them.
constexpr duration lapse_margin = 1s;

constexpr int status_conflict = 409;
//! While the store is unreachable, another VM is asked for a newer manifest
//! once per interval, because the store may be unreachable from this VM only.
constexpr duration manifest_fetch_interval = 600ms;
constexpr duration manifest_fetch_timeout = 500ms; //!< until it begins

} // namespace

void gateway_process::start_store_watchers()
{
    struct watched_kind
    {
        platform::object_kind kind;
        store::watch_timing timing;
        char const* name;
        void (gateway_process::*apply)(store::object_update const&);
    };
    std::vector<watched_kind> kinds = {
        {platform::object_kind::manifest,
         store::manifest_watch_timing(settings_), "manifest",
         &gateway_process::apply_manifest},
        {platform::object_kind::runners, store::runner_watch_timing(settings_),
         "runners", &gateway_process::apply_runners},
        {platform::object_kind::members, store::member_watch_timing(),
         "members", &gateway_process::apply_members}};
    // When all VMs start for the first time, nothing can have crashed.
    if (!settings_.first_start)
        kinds.push_back({platform::object_kind::crash_records,
                         store::crash_records_timing(), "crash_records",
                         &gateway_process::apply_crash_records});
    if (settings_.evacuation_timeout)
        kinds.push_back({platform::object_kind::evacuations,
                         store::evacuation_watch_timing(settings_),
                         "evacuations", &gateway_process::apply_evacuations});
    for (auto const& it : kinds)
    {
        store::store_watcher::callback_set callbacks;
        callbacks.updated = [this, it](store::object_update const& update)
        {
            log_update(it.name, update);
            (this->*it.apply)(update);
        };
        callbacks.observe_era = [this](std::optional<std::uint64_t> era)
        { return observe_store_era(era); };
        callbacks.reachable =
            [this, it](bool reachable, std::string const& reason)
        {
            log(reachable ? "store_regained" : "store_lost",
                {{"watch", it.name}, {"reason", reason}});
        };
        callbacks.overdue = [this, it](duration since_answer)
        { note_overdue_answer(it.name, since_answer); };
        callbacks.changes_skipped =
            [this, it](std::uint64_t revision, std::size_t max_bytes)
        {
            log("store_changes_skipped",
                {{"watch", it.name},
                 {"revision", std::to_string(revision)},
                 {"max_bytes", std::to_string(max_bytes)}});
        };
        store_watchers_.push_back(std::make_unique<store::store_watcher>(
            loop_, http_client_, settings_.store_endpoint.to_string(), it.kind,
            it.timing, transfer_pace_of(settings_), [this] { return now(); },
            std::move(callbacks)));
    }
    // The store may have come back from a copy shortly before.
    ask_peers_until_ = now() + settings_.settle_time;
    manifest_watcher_ = store_watchers_[0].get();
    runner_watcher_ = store_watchers_[1].get();
    for (auto const& it : store_watchers_)
        it->start();
}

void gateway_process::note_overdue_answer(char const* watch,
                                          duration since_answer)
{
    metrics_.count_overdue_store_answer();
    auto const since_answer_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(since_answer)
            .count();
    log("store_answer_overdue",
        {{"watch", watch},
         {"since_answer_ms", std::to_string(since_answer_ms)}});
}

void gateway_process::log_update(char const* watch,
                                 store::object_update const& update)
{
    char const* const what = update.unfinished ? "store_list_unfinished"
                             : update.listed   ? "store_listed"
                                               : "store_changed";
    log(what, {{"watch", watch},
               {"era", std::to_string(store_era_.current().value_or(0))},
               {"revision", std::to_string(update.revision)},
               {"objects", std::to_string(update.objects.size())}});
}

store::era_order
gateway_process::observe_store_era(std::optional<std::uint64_t> era)
{
    auto const former = store_era_.current();
    auto const order = store_era_.observe(era);
    if (order == store::era_order::risen)
    {
        log("store_era_risen",
            {{"from", std::to_string(*former)}, {"to", std::to_string(*era)}});
        metrics_.count_store_restore();
        members_.forget_revisions();
        crash_record_writer_.store_restored();
        for (auto const& it : store_watchers_)
            it->restart();
        ask_peers_until_ = now() + settings_.settle_time;
    }
    return order;
}

void gateway_process::apply_manifest(store::object_update const& update)
{
    constexpr std::string_view name = "main";
    for (auto const& it : update.objects)
        if (!it.deleted && it.name == name)
            take_manifest(it);
}

void gateway_process::take_manifest(platform::stored_object const& object)
{
    auto value = platform::decode_manifest(object);
    if (value == nullptr)
    {
        log("manifest_unreadable",
            {{"revision", std::to_string(object.revision)}});
        return;
    }
    auto const* current = reducer_.current_manifest();
    if (current == nullptr || current->version < value->version)
    {
        encoded_manifest_ = platform::encode_object(object);
        log_defective_routes(*value);
    }
    reduce(model::manifest_changed{std::move(value)});
}

void gateway_process::log_defective_routes(model::manifest const& of)
{
    // A large manifest must not fill the log.
    constexpr std::size_t max_lines = 16;
    auto const& routes = of.defective_routes();
    for (std::size_t n = 0; n < std::min(routes.size(), max_lines); ++n)
        log("route_unusable", {{"route", routes[n].name},
                               {"reason", model::name_of(routes[n].defect)},
                               {"version", std::to_string(of.version)},
                               {"routes", std::to_string(routes.size())}});
}

void gateway_process::apply_runners(store::object_update const& update)
{
    bool const listed = update.listed;
    model::runners_listed all;
    all.store_failed_after = update.failed_after;
    all.restored = update.restored;
    if (update.restored)
        list_runners_later();
    for (auto const& it : update.objects)
    {
        auto entry = it.deleted ? std::nullopt : platform::decode_runner(it);
        if (!it.deleted && !entry)
            log("runner_unreadable", {{"runner", it.name}});
        if (listed && entry)
            all.runners.push_back(std::move(*entry));
        else if (!listed && entry)
            reduce(model::runner_changed{std::move(*entry)});
        else if (!listed)
            reduce(model::runner_removed{it.name, update.failed_after});
    }
    if (listed)
        reduce(all);
}

void gateway_process::list_runners_later()
{
    constexpr int lapse_intervals = 3;
    auto const lapse_time =
        settings_.runner_heartbeat_interval * lapse_intervals;
    runner_list_timer_.start(lapse_time + lapse_margin,
                             [this] { runner_watcher_->list_anew(); });
}

void gateway_process::apply_members(store::object_update const& update)
{
    members_.apply(update, now());
    reduce(model::members_listed{members_.values()});
    if (!members_.is_registered(self_))
        register_member();
}

void gateway_process::apply_evacuations(store::object_update const& update)
{
    model::evacuations_listed all;
    all.restored = update.restored;
    for (auto const& it : update.objects)
        if (update.listed)
            all.failure_domains.push_back(it.name);
        else
            reduce(model::evacuation_changed{it.name, !it.deleted});
    if (update.listed)
        reduce(all);
}

void gateway_process::apply_crash_records(store::object_update const& update)
{
    model::crash_records_read in;
    in.listed = true;
    std::optional<std::uint64_t> revision;
    for (auto const& it : update.objects)
    {
        bool const own = it.name == settings_.vm_name;
        if (own)
            revision = it.revision;
        auto const records = platform::decode_crash_records(it);
        auto& to = own ? in.own : in.others;
        to.insert(to.end(), records.begin(), records.end());
    }
    crash_record_writer_.set_revision(revision);
    reduce(std::move(in));
}

store::crash_record_writer::callback_set
gateway_process::crash_record_callbacks()
{
    store::crash_record_writer::callback_set out;
    out.call = [this](platform::store_request call, net::call_done done)
    { call_store(std::move(call), std::move(done)); };
    out.found = [this](std::vector<model::stored_crashes> records) {
        reduce(model::crash_records_read{std::move(records), {}, false});
    };
    out.acknowledged = [this](std::size_t records) {
        log("crash_records_stored", {{"records", std::to_string(records)}});
    };
    out.repeated = [this](int status) {
        log("crash_records_not_stored", {{"status", std::to_string(status)}});
    };
    return out;
}

void gateway_process::execute(model::store_crash_records const& effect)
{
    crash_record_writer_.write(effect.records);
}

void gateway_process::drop_lapsed_members(time_point at)
{
    if (members_.expire(at))
        reduce(model::members_listed{members_.values()});
}

void gateway_process::fetch_manifest_from_peer(time_point at)
{
    bool const store_suffices =
        manifest_watcher_->is_reachable() && at >= ask_peers_until_;
    if (store_suffices || fetching_manifest_ || members_.size() < 2 ||
        at - last_manifest_fetch_at_ < manifest_fetch_interval)
        return;
    last_manifest_fetch_at_ = at;
    auto const& to = members_.at(next_peer_index_++ % members_.size());
    if (to.name == self_.name)
        return;
    auto const* current = reducer_.current_manifest();
    auto const target =
        std::string(peer::manifest_path) +
        "?after=" + std::to_string(current != nullptr ? current->version : 0);
    net::call_options options;
    options.connect_timeout = manifest_fetch_timeout;
    options.timeout = manifest_fetch_timeout;
    options.pace = transfer_pace_of(settings_);
    fetching_manifest_ = true;
    make_call(http_client_, to.address, {"GET", target, {}, {}}, options,
              [this, name = to.name](net::call_result const& result)
              {
                  fetching_manifest_ = false;
                  if (result.failure || result.head.status != http::status_ok)
                      return;
                  auto const object = platform::decode_object(result.body);
                  if (!object)
                      return;
                  log("manifest_from_peer", {{"member", name}});
                  take_manifest(*object);
              });
}

void gateway_process::execute(model::remove_member const& effect)
{
    auto const revision = members_.revision_of(effect.member);
    if (!revision)
        return;
    // A failed call needs no retry here: the reducer requests the removal
    // again.
    call_store(platform::delete_member_request(effect.member, *revision),
               [this, name = effect.member](net::call_result const& result)
               {
                   if (!result.failure && result.head.status == http::status_ok)
                       crash_record_writer_.take_over(name);
               });
}

void gateway_process::execute(model::list_runners const&)
{
    runner_watcher_->list_anew();
}

void gateway_process::call_store(platform::store_request call,
                                 net::call_done done)
{
    net::call_options options;
    options.timeout = write_timeout;
    options.pace = transfer_pace_of(settings_);
    make_call(http_client_, settings_.store_endpoint.to_string(),
              {std::move(call.method),
               std::move(call.target),
               std::move(call.body),
               {}},
              options,
              [this, done = std::move(done)](net::call_result const& result)
              {
                  if (!result.failure)
                      observe_store_era(
                          platform::decode_store_era(result.head));
                  done(result);
              });
}

void gateway_process::register_member()
{
    if (registering_ || draining_)
        return;
    registering_ = true;
    write_member(false);
}

void gateway_process::write_member(bool replace)
{
    call_store(
        replace ? platform::replace_member_request(self_)
                : platform::create_member_request(self_),
        [this, replace](net::call_result const& result)
        {
            int const status = result.failure ? 0 : result.head.status;
            if (status >= 200 && status < 300)
            {
                registering_ = false;
                log("member_registered", {});
                return;
            }
            if (status == status_conflict && !replace)
            {
                write_member(true);
                return;
            }
            log("member_not_registered", {{"status", std::to_string(status)}});
            registration_timer_.start(registration_retry_delay,
                                      [this] { write_member(false); });
        });
}

} // namespace buckthornvale::gateway
