#ifndef BUCKTHORNVALE_DECISION_GATEWAY_ENGINE_LOAD_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_ENGINE_LOAD_HPP

#include <buckthornvale/decision/gateway/engine_profile.hpp>
#include <buckthornvale/decision/gateway/request.hpp>
#include <buckthornvale/decision/gateway/runner.hpp>
#include <buckthornvale/decision/gateway/stage_message.hpp>

#include <absl/types/span.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace buckthornvale::decision::gateway
{

//! A request as the choice of a model runner sees it.
struct engine_request
{
    absl::Span<prompt_part const> prompt;
    //! Replaces the session for requests without a prompt.
    std::uint64_t seed = 0;
    double prompt_tokens = 0;
    double output_tokens = 0; //!< maximum
    bool streams = true;      //!< its answer begins with a first event
    bool was_sent = false;    //!< to another runner before
};

//! Number of requests of other VMs at a model runner.
struct other_requests
{
    double running = 0;
    double waiting = 0; //!< without a first event

    double total() const { return running + waiting; }
};

//! What this VM expects of a send to a model runner.
struct engine_expectation
{
    double unread_tokens = 0; //!< of the prompt, that the runner has to read
    //! The request states that it needs more than a whole memory. The runner
    //! judges it, and its memory is not counted.
    bool exceeds_memory = false;
    double tokens_before = 0; //!< that it reads before the first event
    duration usual_time{};    //!< to the first event, at the usual speed
    duration first_event{};   //!< same at the present speed of the runner
};

//! What this VM knows of the load of one model runner: its own requests there,
//! those of other VMs by the runner's last report, and the runner's speed.
//! Lives as long as the incarnation of the runner.
class engine_load
{
public:
    //! Returns what a send of the request now would lead to. If the runner is
    //! the first in the order of the session, it is assumed to have read the
    //! shared parts of the prompt for some VM.
    engine_expectation expect(engine_request const& work, bool is_first,
                              other_requests const& others,
                              engine_profile const& profile,
                              time_point now) const;

    //! Records a send. The runner counts as having read the shared parts of
    //! the prompt.
    void sent(request_ref request, engine_request const& work,
              engine_expectation const& expected, time_point now);

    //! Records the first event of a request. Returns nullopt if the request is
    //! unknown or has started before.
    std::optional<first_event_sample> started(request_ref request,
                                              time_point now);

    //! Records that the runner no longer holds the request.
    void ended(request_ref request);

    //! Records a report that the runner made just now.
    void report(runner_load const& load, time_point now);

    //! Tokens of own prompts that the runner has still to read.
    double own_unread_tokens() const { return unread_tokens_; }

    //! Memory that own requests need at most.
    double own_held_tokens() const { return held_tokens_; }

    //! True if the memory of the runner suffices for the request beside the
    //! other requests of this VM. A runner that holds none of them, or that
    //! never has room for the request, decides itself.
    bool has_room(engine_request const& work, double cache_tokens) const;

    //! True if the request states that it needs more than a whole memory.
    static bool exceeds_memory(engine_request const& work, double cache_tokens);

    //! Requests of other VMs by a report of the last few seconds.
    std::optional<other_requests> reported_others(time_point now) const;

    //! Requests of other VMs. As the report ages, what is usual at the
    //! runners of the service replaces it.
    other_requests others(other_requests const& usual, time_point now) const;

    //! Time that work takes, relative to the usual time of the service. Returns
    //! to 1 while nothing is heard of the runner.
    double slowdown(time_point now) const;

private:
    //! A factor that decays towards 1.
    class fading_factor
    {
    public:
        double at(time_point now) const;
        void update(double sample, time_point now);

    private:
        double value_ = 1;
        time_point updated_at_{};
    };

    struct own_request
    {
        double held_tokens = 0; //!< without shared parts
        std::vector<std::uint64_t> shared_parts;
        engine_expectation expected;
        time_point sent_at{};
        bool streams = true;
        bool started = false;
    };

    //! A part of prompts that several requests share.
    struct shared_part
    {
        double tokens = 0;
        std::uint32_t users = 0; //!< own requests at the runner
        time_point used_at{};
    };

    void hold_part(prompt_part const& part, time_point now);
    void release_part(std::uint64_t id);
    void hold(own_request& it, engine_request const& work, time_point now);
    void forget_old_parts();
    double tokens_to_read(engine_request const& work, bool is_first,
                          time_point now) const;
    double observed_ratio(own_request const& it, time_point now) const;

    std::map<request_ref, own_request> requests_;
    std::map<std::uint64_t, shared_part> parts_;
    std::size_t unused_parts_ = 0;
    double held_tokens_ = 0;
    double unread_tokens_ = 0;
    std::size_t waiting_ = 0; //!< own requests without a first event

    std::optional<other_requests> reported_others_;
    time_point reported_at_{};
    fading_factor reported_slowdown_;
    fading_factor observed_slowdown_; //!< beyond the reported one
};

} // namespace buckthornvale::decision::gateway

#endif
