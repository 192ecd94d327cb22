#ifndef BUCKTHORNVALE_DECISION_FLEET_FAILURE_DETECTOR_HPP
#define BUCKTHORNVALE_DECISION_FLEET_FAILURE_DETECTOR_HPP

#include <buckthornvale/decision/fleet/member.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>
#include <pcg_random.hpp>

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace buckthornvale::decision::fleet
{

//! Parameters of the failure detector.
struct detector_settings
{
    duration period = std::chrono::seconds(1); //!< interval between probes
    duration ack_timeout = std::chrono::milliseconds(300);
    //! Peers that are asked to probe an unresponsive one.
    std::uint32_t indirect_probe_peers = 3;
    //! Suspicion timeout, after which a suspect is declared paused or dead:
    //! this many periods times log10(peers + 1), with a factor of at least 1.
    double suspicion_periods = 3.;
    //! Time without messages on an open link after which a paused VM is
    //! declared dead.
    duration pause_limit = std::chrono::seconds(60);
    //! Upper bound of the local health score (Lifeguard). Timeouts are
    //! multiplied by score + 1.
    std::uint32_t max_health_score = 8;
    //! A longer gap between two ticks means that this VM itself was paused.
    duration own_pause_threshold = std::chrono::milliseconds(500);
};

//! Why a peer is in its state.
enum class peer_state_reason : std::uint8_t
{
    responded,
    no_ack, //!< neither a direct nor an indirect probe was acknowledged
    open_but_silent,  //!< the process seems to be paused
    connection_reset, //!< no new connection since; the process seems to be dead
    connection_refused,
    silent_too_long,
    said_goodbye
};

std::string_view name_of(peer_state_reason reason);

//! Effect: send a ping. When `target` differs from `to`, `to` is asked to probe
//! the target on behalf of this VM.
struct send_ping
{
    vm_id to;
    vm_id target;
    std::uint64_t sequence = 0;
};

//! Effect: send an ack. `target` is the VM that is alive.
struct send_ack
{
    vm_id to;
    vm_id target;
    std::uint64_t sequence = 0;
};

//! Effect: the state of a peer changed.
struct peer_state_change
{
    vm_id vm;
    member_state state = member_state::live;
    peer_state_reason reason = peer_state_reason::responded;
};

using detector_effect = std::variant<send_ping, send_ack, peer_state_change>;
using detector_effects = std::vector<detector_effect>;

//! SWIM-like failure detector with the local health score of Lifeguard, over
//! the peers to which this VM has links.
class failure_detector
{
public:
    failure_detector(vm_id self, detector_settings const& settings,
                     std::uint64_t seed);

    //! Sets the linked peers. The state of peers that stay is kept.
    void set_peers(absl::Span<vm_id const> peers, time_point now);
    void on_link_event(vm_id peer, link_event event, time_point now,
                       detector_effects& out);
    void on_ping(vm_id from, vm_id target, std::uint64_t sequence,
                 time_point now, detector_effects& out);
    void on_ack(vm_id from, vm_id target, std::uint64_t sequence,
                time_point now, detector_effects& out);
    //! Advances the detector; call it every 50 to 100 ms.
    void tick(time_point now, detector_effects& out);

    member_state state_of(vm_id peer) const;
    peer_state_reason reason_of(vm_id peer) const;
    std::uint32_t health_score() const { return health_score_; }

private:
    enum class link_state : std::uint8_t
    {
        none,
        open,
        reset,
        refused
    };

    struct peer_record
    {
        member_state state = member_state::live;
        peer_state_reason reason = peer_state_reason::responded;
        link_state link = link_state::none;
        time_point last_heard{};
        time_point suspected{};
        time_point link_changed{};
        std::uint32_t refusals = 0;
    };

    //! An outstanding probe of this VM.
    struct probe
    {
        vm_id target;
        std::uint64_t sequence = 0;
        time_point sent{};
        bool indirect_requested = false;
    };

    //! An outstanding probe on behalf of another VM.
    struct indirect_probe
    {
        vm_id requester;
        std::uint64_t requester_sequence = 0;
        vm_id target;
        time_point sent{};
    };

    void mark_responsive(vm_id peer, time_point now, detector_effects& out);
    void evaluate(vm_id peer, peer_record& record, time_point now,
                  detector_effects& out);
    void set_state(vm_id peer, peer_record& record, member_state state,
                   peer_state_reason reason, detector_effects& out);
    void start_probe(time_point now, detector_effects& out);
    void check_probe(time_point now, detector_effects& out);
    void send_indirect_probes(vm_id target, std::uint64_t sequence,
                              detector_effects& out);
    void handle_own_pause(time_point now);
    void raise_health_score();
    duration scale_by_health(duration value) const;
    duration suspicion_time() const;

    vm_id self_;
    detector_settings settings_;
    pcg32 random_;
    absl::flat_hash_map<vm_id, peer_record> peers_;
    std::vector<vm_id> probe_order_; //!< shuffled anew after each round
    std::size_t next_probe_index_ = 0;
    std::vector<probe> probes_;
    absl::flat_hash_map<std::uint64_t, indirect_probe> indirect_probes_;
    std::uint64_t sequence_ = 0;
    std::uint32_t health_score_ = 0;
    time_point next_probe_time_{};
    time_point last_tick_{};
    bool has_ticked_ = false;
};

} // namespace buckthornvale::decision::fleet

#endif
