#include "support/runner_fixture.hpp"
#include <buckthornvale/documents/json_text.hpp>
#include <buckthornvale/serving/upstream/runner_codec.hpp>

#include <map>
#include <mutex>
#include <optional>

namespace buckthornvale::serving::tests
{

namespace
{

using requests::attempt_ended;
using requests::attempt_outcome;
using requests::service_outcome;
using requests::start_attempt;

//! Runners in memory: the meaning of each fault written down a second time,
//! without sockets or threads.
class fake_backend : public runner_backend, public upstream::runner_calls
{
public:
    upstream::runner_calls& calls() override { return *this; }

    void set_faults(standins::faults const& value) override { faults_ = value; }
    void shut_down() override { down_ = true; }
    std::uint64_t executed() const override { return executed_; }
    std::uint16_t port_of(decision::runner_kind) const override { return 1; }

    void start(start_attempt attempt) override
    {
        if (down_)
            return end(attempt, attempt_outcome::not_started, true);
        if (faults_.freeze)
            return end(attempt, attempt_outcome::timed_out, false);
        if (faults_.refuse)
            return end(attempt, attempt_outcome::not_started, false);
        if (faults_.drop_before)
            return end(attempt, attempt_outcome::connection_lost, true);
        ++executed_;
        outcomes_[attempt.idempotency_key] = output_of(attempt);
        auto const lost = !faults_.exit_marker.empty() || faults_.drop_after;
        if (lost)
            return end(attempt, attempt_outcome::connection_lost, true);
        if (attempt.budget < std::chrono::milliseconds(faults_.delay_ms))
            return end(attempt, attempt_outcome::timed_out, false);
        if (faults_.delay_ms > 0)
            held_[attempt.attempt] = attempt;
        else
            answer(attempt);
    }

    void cancel(requests::cancel_attempt attempt) override
    {
        auto const it = held_.find(attempt.attempt);
        if (it == held_.end())
            return;
        end(it->second, attempt_outcome::cancelled, false);
        held_.erase(it);
    }

    void ask(requests::query_service_outcome query) override
    {
        requests::service_outcome_received told;
        told.claim = query.claim;
        auto const it = outcomes_.find(query.idempotency_key);
        if (!down_ && it == outcomes_.end())
            told.result = service_outcome::not_seen;
        if (!down_ && it != outcomes_.end())
        {
            told.result = service_outcome::completed;
            told.output = it->second;
        }
        listener.outcome_told(told);
    }

    void order(upstream::engine_order value) override
    {
        auto result = upstream::order_result::accepted;
        if (down_ || value.valid_for <= decision::duration::zero())
            result = upstream::order_result::failed;
        else if (value.fencing < fencing_ && !faults_.ignore_fencing)
            result = upstream::order_result::stale_fencing;
        else
            fencing_ = std::max(fencing_, value.fencing);
        listener.ordered({value, result});
    }

private:
    void answer(start_attempt const& attempt)
    {
        if (faults_.error_status != 0)
            return end(attempt, attempt_outcome::rejected, false);
        if (faults_.bad_answer || faults_.pad_bytes > small_answer_bound)
            return end(attempt, attempt_outcome::connection_lost, false);
        if (!faults_.cross)
            return complete(attempt, attempt);
        if (!crossed_)
        {
            crossed_ = attempt;
            return;
        }
        complete(*crossed_, attempt);
        complete(attempt, *crossed_);
        crossed_.reset();
    }

    static std::string input_of(start_attempt const& attempt)
    {
        return std::string(
            documents::raw_member(upstream::encode_attempt(attempt), "input"));
    }

    static std::string output_of(start_attempt const& attempt)
    {
        auto const engine = attempt.kind == decision::runner_kind::engine;
        standins::call call;
        call.stage = engine ? attempt.stage : "service";
        call.input = input_of(attempt);
        return standins::make_output(call, engine ? "engine" : "service", 0);
    }

    void complete(start_attempt const& attempt, start_attempt const& answered)
    {
        if (attempt.stream && !stream(attempt, answered))
            return end(attempt, attempt_outcome::connection_lost, true);
        attempt_ended value;
        value.call = attempt.attempt;
        value.answered_attempt = answered.attempt;
        value.result = attempt_outcome::completed;
        if (attempt.stream)
            value.token_count = standins::token_count(input_of(answered));
        else
            value.output = output_of(answered);
        listener.ended(value);
    }

    bool stream(start_attempt const& attempt, start_attempt const& answered)
    {
        auto const input = input_of(answered);
        auto const count = standins::token_count(input);
        std::uint64_t sent = 0;
        for (auto i = attempt.resume_from; i < count; ++i, ++sent)
        {
            if (faults_.break_after != 0 && sent == faults_.break_after)
                return false;
            if (faults_.skip_index != 0 && i == faults_.skip_index)
                continue;
            listener.token({attempt.attempt, answered.attempt, i,
                            standins::token_text(input, i)});
        }
        return true;
    }

    void end(start_attempt const& attempt, attempt_outcome result, bool crashed)
    {
        attempt_ended value;
        value.call = attempt.attempt;
        value.answered_attempt = attempt.attempt;
        value.result = result;
        value.runner_crashed = crashed;
        listener.ended(value);
    }

    standins::faults faults_;
    bool down_ = false;
    std::uint64_t executed_ = 0;
    std::uint64_t fencing_ = 0;
    std::map<std::string, std::string> outcomes_;
    std::map<decision::attempt_id, start_attempt> held_;
    std::optional<start_attempt> crossed_;
};

} // namespace

std::unique_ptr<runner_backend> make_fake_backend()
{
    return std::make_unique<fake_backend>();
}

} // namespace buckthornvale::serving::tests
