#include "control_handler.hpp"
#include <buckthornvale/gateway/gateway_process.hpp>

namespace buckthornvale::gateway
{

namespace
{

using namespace std::chrono_literals;
namespace model = decision::gateway;
using decision::duration;

//! Changes come in series, and each call to the store has its price.
constexpr store::watch_times manifest_times = {3s, 150ms, 150ms};
constexpr store::watch_times members_times = {29s, 1500ms, 1500ms};
constexpr duration runners_wait = 8s;
constexpr duration runners_pause_after_outage = 350ms;

constexpr duration write_timeout = 1500ms;
constexpr duration write_pause = 700ms;

constexpr int status_conflict = 409;
//! While the store is out of reach, another VM is asked for a newer manifest
//! once per interval: the store may turn away single VMs only.
constexpr duration peer_interval = 600ms;
constexpr duration peer_timeout = 500ms;

} // namespace

duration runners_pause(platform::node_settings const& settings)
{
    // A leaving runner serves on for the drain timeout, so that its VMs may
    // learn of it within a part of that.
    constexpr int part = 4;
    return settings.drain_timeout / part;
}

void gateway_process::watch_store()
{
    using objects = std::vector<platform::stored_object>;
    auto const add =
        [this](platform::object_kind kind, store::watch_times times,
               char const* name,
               std::function<void(objects const&, bool, bool)> const& take)
    {
        store::store_watcher::callback_set callbacks;
        callbacks.listed = [take](objects const& all, bool after_outage)
        { take(all, true, after_outage); };
        callbacks.changed = [take](objects const& changes, bool after_outage)
        { take(changes, false, after_outage); };
        callbacks.reachable =
            [this, name](bool reachable, std::string const& reason)
        {
            log(reachable ? "store_regained" : "store_lost",
                {{"watch", name}, {"reason", reason}});
        };
        watchers_.push_back(std::make_unique<store::store_watcher>(
            loop_, client_, settings_.store_endpoint.to_string(), kind, times,
            [this] { return now(); }, std::move(callbacks)));
        watchers_.back()->start();
        return watchers_.back().get();
    };
    manifest_watcher_ =
        add(platform::object_kind::manifest, manifest_times, "manifest",
            [this](objects const& all, bool, bool) { take_manifest(all); });
    add(platform::object_kind::runners,
        {runners_wait, runners_pause(settings_), runners_pause_after_outage},
        "runners",
        [this](objects const& all, bool listed, bool after_outage)
        { take_runners(all, listed, after_outage); });
    add(platform::object_kind::members, members_times, "members",
        [this](objects const& all, bool listed, bool)
        { take_members(all, listed); });
}

void gateway_process::take_manifest(
    std::vector<platform::stored_object> const& objects)
{
    constexpr std::string_view name = "main";
    for (auto const& it : objects)
    {
        if (it.deleted || it.name != name)
            continue;
        auto value = platform::decode_manifest(it);
        if (value == nullptr)
            log("manifest_unreadable",
                {{"revision", std::to_string(it.revision)}});
        else
        {
            auto const* current = reducer_.current_manifest();
            if (current == nullptr || current->version < value->version)
                manifest_text_ = platform::encode_object(it);
            reduce(model::manifest_changed{std::move(value)});
        }
    }
}

void gateway_process::take_runners(
    std::vector<platform::stored_object> const& objects, bool listed,
    bool after_outage)
{
    model::runners_listed all;
    all.after_outage = after_outage;
    for (auto const& it : objects)
    {
        auto entry = it.deleted ? std::nullopt : platform::decode_runner(it);
        if (!it.deleted && !entry)
            log("runner_unreadable", {{"runner", it.name}});
        if (listed && entry)
            all.runners.push_back(std::move(*entry));
        else if (!listed && entry)
            reduce(model::runner_changed{std::move(*entry)});
        else if (!listed)
            reduce(model::runner_removed{it.name, after_outage});
    }
    if (listed)
        reduce(all);
}

void gateway_process::take_members(
    std::vector<platform::stored_object> const& objects, bool listed)
{
    if (listed)
        members_.clear();
    for (auto const& it : objects)
    {
        auto entry = it.deleted ? std::nullopt : platform::decode_member(it);
        if (entry)
            members_[it.name] = {std::move(*entry), it.revision};
        else
            members_.erase(it.name);
    }
    model::members_listed all;
    for (auto const& it : members_)
        all.members.push_back(it.second.value);
    reduce(all);
    if (!self_registered())
        register_member();
}

void gateway_process::ask_peer_for_manifest(time_point at)
{
    if (manifest_watcher_->is_reachable() || asking_peer_ ||
        members_.size() < 2 || at - peer_asked_ < peer_interval)
        return;
    peer_asked_ = at;
    auto to = members_.begin();
    std::advance(to, next_peer_++ % members_.size());
    if (to->first == self_.name)
        return;
    auto const* current = reducer_.current_manifest();
    auto const target =
        std::string(peer::manifest_path) +
        "?after=" + std::to_string(current != nullptr ? current->version : 0);
    net::call_options options;
    options.connect_timeout = peer_timeout;
    options.timeout = peer_timeout;
    asking_peer_ = true;
    make_call(client_, to->second.value.address, {"GET", target, {}, {}},
              options,
              [this, name = to->first](net::call_result const& result)
              {
                  asking_peer_ = false;
                  if (result.failure || result.head.status != http::status_ok)
                      return;
                  auto const object = platform::decode_object(result.body);
                  if (!object)
                      return;
                  log("manifest_from_peer", {{"member", name}});
                  take_manifest({*object});
              });
}

void gateway_process::carry_out(model::remove_member const& effect)
{
    auto const found = members_.find(effect.member);
    if (found == members_.end())
        return;
    // A call that fails is made again: the reducer names the VM again.
    write_store(
        platform::delete_member_request(effect.member, found->second.revision),
        [](net::call_result const&) {});
}

void gateway_process::write_store(platform::store_request call,
                                  net::call_done done)
{
    net::call_options options;
    options.timeout = write_timeout;
    make_call(client_, settings_.store_endpoint.to_string(),
              {std::move(call.method),
               std::move(call.target),
               std::move(call.body),
               {}},
              options, std::move(done));
}

bool gateway_process::self_registered() const
{
    auto const found = members_.find(self_.name);
    return found != members_.end() &&
           found->second.value.incarnation == self_.incarnation;
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
    write_store(
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
            register_timer_ = std::make_unique<asio::steady_timer>(loop_);
            register_timer_->expires_after(write_pause);
            register_timer_->async_wait(
                [this](asio::error_code ec)
                {
                    if (!ec)
                        write_member(false);
                });
        });
}

} // namespace buckthornvale::gateway
