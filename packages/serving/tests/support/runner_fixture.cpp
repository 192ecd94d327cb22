#include "support/runner_fixture.hpp"

namespace buckthornvale::serving::tests
{

namespace
{

std::shared_ptr<requests::stage_output const> output(std::string bytes,
                                                     bool is_text)
{
    return std::make_shared<requests::stage_output const>(
        requests::stage_output{std::move(bytes), is_text});
}

//! The real adapter against stand-ins in this process.
class standin_backend : public runner_backend
{
public:
    standin_backend()
        : engine_(settings_of("engine"), standins::engine_settings()),
          service_(settings_of("service"), true),
          pool_(pool_settings(), listener)
    {
        engine_.start();
        service_.start();
    }

    upstream::runner_calls& calls() override { return pool_; }

    void set_faults(standins::faults const& value) override
    {
        engine_.set_faults(value);
        service_.set_faults(value);
    }

    void shut_down() override
    {
        engine_.stop();
        service_.stop();
    }

    std::uint64_t executed() const override
    {
        return engine_.executed().total() + service_.executed().total();
    }

    std::uint16_t port_of(decision::runner_kind kind) const override
    {
        return kind == decision::runner_kind::engine ? engine_.port()
                                                     : service_.port();
    }

private:
    static standins::standin_settings settings_of(std::string name)
    {
        standins::standin_settings settings;
        settings.name = std::move(name);
        settings.on_exit = [] {};
        return settings;
    }

    static upstream::upstream_settings pool_settings()
    {
        upstream::upstream_settings settings;
        settings.call.max_answer_bytes = small_answer_bound;
        return settings;
    }

    standins::engine engine_;
    standins::service service_;
    upstream::upstream_pool pool_;
};

} // namespace

std::unique_ptr<runner_backend> make_standin_backend()
{
    return std::make_unique<standin_backend>();
}

requests::start_attempt attempt_of(std::uint64_t counter,
                                   decision::runner_kind kind)
{
    requests::start_attempt value;
    value.attempt = {1, counter};
    value.request = {2, counter};
    value.host = "127.0.0.1";
    value.kind = kind;
    value.stage = "price";
    value.input = std::make_shared<std::string const>(R"({"n": 1.50})");
    value.results = {{"encode", output(R"({"v":1})", false)},
                     {"note", output("a\"b", true)}};
    value.budget = hang_limit;
    if (kind == decision::runner_kind::service)
        value.idempotency_key = "key-" + std::to_string(counter);
    return value;
}

} // namespace buckthornvale::serving::tests
