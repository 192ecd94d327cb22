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
    duration period = std::chrono::seconds(1); //!< between probes
    duration ack_timeout = std::chrono::milliseconds(300);
    std::uint32_t indirect_probe_peers =
        3; //!< peers asked to probe a silent one
    //! A suspect is judged after this many periods times log10(peers + 1).
    double suspicion_periods = 3.;
    //! Silence on an open link after which a paused VM counts as dead.
    duration pause_limit = std::chrono::seconds(60);
    //! Upper bound of the local health score (Lifeguard). Each timeout is
    //! multiplied by score + 1.
    std::uint32_t max_health_score = 8;
    //! A gap between two ticks above this shows that this VM itself paused.
    duration own_pause_threshold = std::chrono::milliseconds(500);
};

//! Why a peer has its state.
enum class peer_state_reason : std::uint8_t
{
    responded,
    no_ack,           //!< neither a direct nor a relayed probe was answered
    open_but_silent,  //!< looks paused
    connection_reset, //!< and no new connection since: looks dead
    connection_refused,
    silent_too_long,
    said_goodbye
};

std::string_view name_of(peer_state_reason reason);

//! Send a ping. With `target` different from `to`, `to` is asked to probe the
//! target on behalf of this VM.
struct send_ping
{
    vm_id to;
    vm_id target;
    std::uint64_t sequence = 0;
};

//! Send an ack. `target` is the VM that was found alive.
struct send_ack
{
    vm_id to;
    vm_id target;
    std::uint64_t sequence = 0;
};

//! The state of a peer changed.
struct peer_verdict
{
    vm_id vm;
    member_state state = member_state::live;
    peer_state_reason reason = peer_state_reason::responded;
};

using detector_effect = std::variant<send_ping, send_ack, peer_verdict>;
using detector_effects = std::vector<detector_effect>;

//! SWIM-like failure detector with Lifeguard's local health, over the peers
//! that this VM has links to.
class failure_detector
{
public:
    failure_detector(vm_id self, detector_settings const& settings,
                     std::uint64_t seed);

    //! Linked peers. State of peers that stay is kept.
    void set_peers(absl::Span<vm_id const> peers, time_point now);
    void link(vm_id peer, link_event event, time_point now,
              detector_effects& out);
    void ping(vm_id from, vm_id target, std::uint64_t sequence, time_point now,
              detector_effects& out);
    void ack(vm_id from, vm_id target, std::uint64_t sequence, time_point now,
             detector_effects& out);
    //! Call every 50 to 100 ms.
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

    //! One outstanding probe of this VM.
    struct probe
    {
        vm_id target;
        std::uint64_t sequence = 0;
        time_point sent{};
        bool indirect_requested = false;
    };

    //! A probe made for another VM.
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
    std::vector<vm_id> probe_order_; //!< shuffled probe order
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
