#ifndef BUCKTHORNVALE_SERVING_TESTS_SUPPORT_RUNNER_FIXTURE_HPP
#define BUCKTHORNVALE_SERVING_TESTS_SUPPORT_RUNNER_FIXTURE_HPP

#include "common/engine.hpp"
#include "common/service.hpp"
#include "support/wait.hpp"
#include <buckthornvale/serving/upstream/upstream_pool.hpp>

#include <memory>
#include <string>

namespace buckthornvale::serving::tests
{

namespace requests = decision::requests;

//! Keeps what runners answered.
struct fake_listener : upstream::runner_listener
{
    inbox<requests::attempt_token> tokens;
    inbox<requests::attempt_ended> ends;
    inbox<requests::service_outcome_received> outcomes;
    inbox<upstream::order_answered> orders;

    void token(requests::attempt_token message) override
    {
        tokens.add(std::move(message));
    }
    void ended(requests::attempt_ended message) override
    {
        ends.add(std::move(message));
    }
    void outcome_told(requests::service_outcome_received message) override
    {
        outcomes.add(std::move(message));
    }
    void ordered(upstream::order_answered message) override
    {
        orders.add(std::move(message));
    }
};

constexpr std::size_t small_answer_bound = 2000;

//! Runners behind the interface runner_calls: either real calls to stand-ins,
//! or the hand-written fake.
class runner_backend
{
public:
    virtual ~runner_backend() = default;
    virtual upstream::runner_calls& calls() = 0;
    virtual void set_faults(standins::faults const& value) = 0;
    //! Makes the runners refuse connections.
    virtual void shut_down() = 0;
    virtual std::uint64_t executed() const = 0;
    virtual std::uint16_t port_of(decision::runner_kind kind) const = 0;

    fake_listener listener;
};

std::unique_ptr<runner_backend> make_standin_backend();
std::unique_ptr<runner_backend> make_fake_backend();

//! An attempt with the input and results that `expected_input` shows.
requests::start_attempt attempt_of(std::uint64_t counter,
                                   decision::runner_kind kind);

constexpr char expected_input[] =
    R"({"request":{"n": 1.50},"results":{"encode":{"v":1},"note":"a\"b"}})";

} // namespace buckthornvale::serving::tests

#endif
