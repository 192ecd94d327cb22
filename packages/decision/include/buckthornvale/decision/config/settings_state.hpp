#ifndef BUCKTHORNVALE_DECISION_CONFIG_SETTINGS_STATE_HPP
#define BUCKTHORNVALE_DECISION_CONFIG_SETTINGS_STATE_HPP

#include <buckthornvale/decision/config/config_effects.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/types/span.h>
#include <pcg_random.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace buckthornvale::decision::config
{

//! Parameters of the replicated settings.
struct config_settings
{
    std::string prefix = "settings/";
    duration watch_timeout = std::chrono::seconds(30);
    //! A list or watch call without an answer counts as failed so long after
    //! the time that it was given.
    duration call_grace = std::chrono::seconds(5);
    //! A list after a start or a gap waits a random part of this, so that a
    //! fleet that starts at once does not exceed the store's reads.
    duration list_jitter = std::chrono::milliseconds(500);
    duration page_interval = std::chrono::milliseconds(20);
    duration backoff_first = std::chrono::milliseconds(100);
    duration backoff_last = std::chrono::seconds(10);
    //! Wait for the watch before a higher revision is pulled from a peer.
    duration pull_delay = std::chrono::milliseconds(200);
    duration pull_timeout = std::chrono::seconds(2);
    //! A new revision is announced at once. The repetition is for messages
    //! that were lost with a link.
    duration announce_interval = std::chrono::seconds(5);
    std::size_t max_page_items = 500;
    std::size_t max_push_bytes = 131072; //!< per push message
    std::size_t max_value_bytes = 1048576;
    std::size_t max_tombstones = 4096;
    std::size_t max_objects = 200000;
    //! Peers to ask when the store is out, when there are so many.
    std::size_t min_peer_reports = 2;
};

//! Counters of the settings state.
struct config_counters
{
    std::uint64_t lists = 0;
    std::uint64_t watches = 0;
    std::uint64_t gaps = 0;
    std::uint64_t store_failures = 0;
    std::uint64_t pulls = 0;
    std::uint64_t pushes = 0;
    std::uint64_t rejected_older = 0; //!< objects older than the one in force
};

namespace detail
{

//! A replacement of the whole state in pages, from the store or a peer.
struct snapshot
{
    std::uint64_t revision = 0; //!< of its first page
    std::string after;
    absl::flat_hash_set<std::uint64_t> path_hashes; //!< hashes of paths
};

//! Settings that are being pulled from a peer.
struct pull_state
{
    vm_id peer;
    std::uint64_t from = 0;
    std::uint64_t base = 0;
    time_point started{};
    std::optional<snapshot> full_copy;
};

} // namespace detail

//! Replicated settings of one VM: opaque objects by path. The version of a
//! path and the revision never decrease. Deletes stay as tombstones with their
//! version, so an older copy from a peer cannot bring a path back.
class settings_state
{
public:
    settings_state(config_settings settings, std::uint64_t seed);

    //! First calls; also drives retries. Call every 10 to 50 ms.
    void tick(time_point now, config_effects& out);

    void list_page(list_answer const& answer, time_point now,
                   config_effects& out);
    void watch_batch(watch_answer const& answer, time_point now,
                     config_effects& out);
    //! The store no longer keeps the revision that was watched from (410).
    void watch_gap(call_token token, time_point now, config_effects& out);
    void store_failed(call_token token, time_point now, config_effects& out);

    //! Peers with an open link.
    void set_peers(absl::Span<vm_id const> peers, time_point now);
    void peer_have(vm_id peer, settings_have const& message, time_point now,
                   config_effects& out);
    void peer_pull(vm_id peer, settings_pull const& message, time_point now,
                   config_effects& out);
    void peer_push(vm_id peer, settings_push const& message, time_point now,
                   config_effects& out);

    //! True when all settings up to the highest reported revision are in force.
    bool ready() const;
    //! All changes up to this revision are in force.
    std::uint64_t revision() const { return revision_; }
    std::uint64_t highest_reported() const { return highest_reported_; }

    //! The object in force; null when there is none or it was deleted.
    settings_object const* find(std::string_view path) const;
    //! Version of the path, tombstones included; 0 when never seen.
    std::uint64_t version_of(std::string_view path) const;
    std::size_t live_objects() const { return objects_.size() - tombstones_; }
    std::size_t tombstones() const { return tombstones_; }
    config_counters const& counters() const { return counters_; }

    //! Calls the function for each live object, ordered by path.
    template <class Function>
    void for_each(Function&& function) const
    {
        for (auto const& it : objects_)
        {
            if (!it.second.deleted)
                function(it.second);
        }
    }

private:
    enum class store_phase : std::uint8_t
    {
        idle,
        listing,
        watching
    };

    using snapshot = detail::snapshot;
    using pull_state = detail::pull_state;

    struct peer_state
    {
        std::uint64_t revision = 0;
        bool responded = false; //!< reported its revision or gave settings
    };

    using objects = std::map<std::string, settings_object, std::less<>>;

    //! Takes an object of a copy that was current at revision `as_of`.
    bool apply_object(settings_object const& object,
                      std::uint64_t copy_revision,
                      std::vector<std::string>& changed_paths);
    void delete_unlisted(snapshot const& list,
                         std::vector<std::string>& changed_paths);
    void trim_tombstones();
    void advance_revision(std::uint64_t revision);
    void emit_changes(std::vector<std::string> changed_paths,
                      std::uint64_t previous_revision, time_point now,
                      config_effects& out);
    void announce(time_point now, config_effects& out);
    void start_list(time_point now, config_effects& out);
    void start_watch(time_point now, config_effects& out);
    void schedule_retry(time_point now);
    void schedule_list(time_point now);
    void pull_if_behind(time_point now, config_effects& out);
    void start_pull(vm_id peer, std::uint64_t from, time_point now,
                    config_effects& out);
    std::optional<vm_id> pull_source() const;
    bool enough_peers_responded() const;
    duration jitter(duration longest);

    config_settings settings_;
    pcg32 random_;
    objects objects_;
    //! Versions in order, for pages of changes.
    std::set<std::pair<std::uint64_t, std::string_view>> by_version_;
    std::size_t tombstones_ = 0;
    std::uint64_t tombstone_floor_ = 0; //!< not all deletes up to it are known
    std::uint64_t revision_ = 0;
    std::uint64_t highest_reported_ = 0;
    bool complete_ = false; //!< a whole list or copy was taken
    bool listed_ = false;   //!< the store gave a whole list

    store_phase phase_ = store_phase::idle;
    call_token token_ = 0;
    time_point call_deadline_{};
    time_point next_call_at_{};
    bool list_needed_ = true;
    bool started_ = false;
    bool store_healthy_ = false;
    int consecutive_failures_ = 0;
    std::optional<snapshot> partial_list_;

    std::optional<pull_state> pull_;
    time_point pull_at_{};
    bool pull_scheduled_ = false;
    int pull_failures_ = 0;
    std::uint64_t last_announced_ = 0;
    time_point next_announce_at_{};
    absl::flat_hash_map<vm_id, peer_state> peers_;
    config_counters counters_;
};

} // namespace buckthornvale::decision::config

#endif
