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
    //! A list call without an answer fails after this time, a watch call after
    //! its timeout plus this time.
    duration call_grace = std::chrono::seconds(5);
    //! Upper bound of the random delay before a list after a start or a gap. It
    //! keeps a fleet whose VMs start together within the store's read limit.
    duration list_jitter = std::chrono::milliseconds(500);
    duration page_interval = std::chrono::milliseconds(20);
    duration backoff_first = std::chrono::milliseconds(100);
    duration backoff_last = std::chrono::seconds(10);
    //! Time given to the watch before a higher revision is pulled from a peer.
    duration pull_delay = std::chrono::milliseconds(200);
    duration pull_timeout = std::chrono::seconds(2);
    //! A new revision is announced at once; the periodic announcement makes up
    //! for messages that were lost with a link.
    duration announce_interval = std::chrono::seconds(5);
    std::size_t max_page_items = 500;
    std::size_t max_push_bytes = 131072; //!< per push message
    std::size_t max_value_bytes = 1048576;
    std::size_t max_tombstones = 4096;
    std::size_t max_objects = 200000;
    //! Number of peers that must have reported before a start without the
    //! store, or all peers when there are fewer.
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
    std::uint64_t rejected_older = 0; //!< objects older than the current one
};

namespace detail
{

//! A full copy of the settings that arrives in pages, from the store or a peer.
struct snapshot
{
    std::uint64_t revision = 0; //!< of its first page
    std::string after;
    //! Of the paths received so far.
    absl::flat_hash_set<std::uint64_t> path_hashes;
};

//! State of a pull from a peer.
struct pull_state
{
    vm_id peer;
    std::uint64_t from = 0;
    std::uint64_t base = 0;
    time_point started{};
    std::optional<snapshot> full_copy;
};

} // namespace detail

//! Replicated settings of one VM: opaque objects by path. The version of a path
//! and the revision never decrease. Deletes are kept as tombstones with their
//! version, so that an older copy from a peer cannot restore a deleted path.
class settings_state
{
public:
    settings_state(config_settings settings, std::uint64_t seed);

    //! Starts store calls, pulls, announcements and retries. To be called every
    //! 10 to 50 ms.
    void tick(time_point now, config_effects& out);

    void list_page(list_answer const& answer, time_point now,
                   config_effects& out);
    void watch_batch(watch_answer const& answer, time_point now,
                     config_effects& out);
    //! Reports that the store no longer has the revision that was watched from
    //! (410).
    void watch_gap(call_token token, time_point now, config_effects& out);
    void store_failed(call_token token, time_point now, config_effects& out);

    //! Sets the peers with an open link.
    void set_peers(absl::Span<vm_id const> peers, time_point now);
    void handle_announcement(vm_id peer, revision_announcement const& message,
                             time_point now, config_effects& out);
    void handle_pull(vm_id peer, settings_pull const& message, time_point now,
                     config_effects& out);
    void handle_push(vm_id peer, settings_push const& message, time_point now,
                     config_effects& out);

    //! Returns whether all settings up to the highest reported revision are
    //! applied.
    bool ready() const;
    //! Returns the revision up to which all changes are applied.
    std::uint64_t revision() const { return revision_; }
    std::uint64_t highest_reported() const { return highest_reported_; }

    //! Returns the current object; null if there is none or it was deleted.
    settings_object const* find(std::string_view path) const;
    //! Returns the version of the path, including tombstones; 0 if unknown.
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
        bool responded = false; //!< reported its revision or sent settings
    };

    using objects = std::map<std::string, settings_object, std::less<>>;

    //! Applies an object of a copy that was current at `copy_revision`; returns
    //! false if the object is outdated or exceeds the limit.
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
    //! Paths ordered by version, for paging through changes.
    std::set<std::pair<std::uint64_t, std::string_view>> by_version_;
    std::size_t tombstones_ = 0;
    //! Tombstones up to this revision are incomplete.
    std::uint64_t tombstone_floor_ = 0;
    std::uint64_t revision_ = 0;
    std::uint64_t highest_reported_ = 0;
    bool complete_ = false; //!< a full list or copy was applied
    bool listed_ = false;   //!< a full list came from the store

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
