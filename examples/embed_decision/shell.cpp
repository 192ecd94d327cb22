#include "shell.hpp"

#include <iomanip>
#include <iostream>
#include <utility>
#include <variant>

namespace embed_decision
{

namespace requests = decision::requests;

namespace
{

using std::chrono::milliseconds;

// In production, the incarnation is a random number drawn at process start.
constexpr std::uint64_t incarnation = 1;

constexpr milliseconds tick_period{10};
constexpr milliseconds service_time{30};

decision::reducer_settings settings_of_vm()
{
    decision::reducer_settings settings;
    settings.vm = "vm-1";
    settings.failure_domain = "north";
    settings.incarnation = incarnation;
    settings.seed = 1;
    return settings;
}

std::int64_t milliseconds_of(decision::duration value)
{
    return std::chrono::duration_cast<milliseconds>(value).count();
}

} // namespace

shell::shell() : reducer_(settings_of_vm()) {}

void shell::install(decision::fleet_settings const& settings)
{
    using requests::settings_kind;
    requests::settings_installed installed;
    installed.settings = &settings;
    installed.changes.push_back({settings_kind::ranks, {}});
    for (auto const& it : settings.pools)
        installed.changes.push_back({settings_kind::pool, it.first});
    for (auto const& it : settings.pipelines)
        installed.changes.push_back({settings_kind::pipeline, it.first});
    for (auto const& it : settings.organisations)
        installed.changes.push_back({settings_kind::organisation, it.first});
    step(installed);
}

void shell::submit(requests::caller_request call)
{
    requests::request_received event;
    event.request = {incarnation, ++next_request_};
    event.call = std::move(call);
    event.received_at = wall_now();
    print("request_received " + event.call.pipeline);
    step(event);
}

void shell::advance(decision::duration length)
{
    auto const end = now_ + length;
    while (now_ < end)
    {
        now_ += tick_period;
        answer_due_calls();
        step(decision::ticked{wall_now()});
    }
}

void shell::step(decision::event const& value)
{
    decision::effects effects;
    reducer_.reduce(value, now_, effects);
    for (auto const& effect : effects)
        std::visit([this](auto const& it) { execute(it); }, effect);
}

void shell::answer_due_calls()
{
    while (!calls_.empty() && calls_.front().due <= now_)
    {
        auto const attempt = calls_.front().attempt;
        calls_.pop_front();
        requests::attempt_ended event;
        event.call = attempt.attempt;
        event.answered_attempt = attempt.attempt;
        event.result = requests::attempt_outcome::completed;
        event.output = "{\"from\":\"" + attempt.stage + "\"}";
        event.took = service_time;
        print("attempt_ended " + attempt.stage);
        step(event);
    }
}

decision::wall_time shell::wall_now() const
{
    return decision::wall_time(
        std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()));
}

void shell::execute(requests::start_attempt const& effect)
{
    std::string inputs;
    for (auto const& it : effect.results)
        inputs += " " + it.stage + "=" + it.output->bytes;
    print("start_attempt " + effect.stage + " on " + effect.host + ":" +
          std::to_string(effect.port) + inputs);
    calls_.push_back({now_ + service_time, effect});
}

void shell::execute(requests::cancel_attempt const& effect)
{
    for (auto it = calls_.begin(); it != calls_.end(); ++it)
    {
        if (it->attempt.attempt != effect.attempt)
            continue;
        print("cancel_attempt " + it->attempt.stage);
        calls_.erase(it);
        return;
    }
}

void shell::execute(requests::send_token const& effect)
{
    print("send_token " + std::to_string(effect.index) + " " + effect.text);
}

void shell::execute(requests::send_answer const& effect)
{
    auto const& body = effect.body;
    auto text = "send_answer " + std::string(name_of(body.result_kind));
    if (body.failure)
        text += " " + decision::message_of(body.failure);
    if (body.result)
        text += " " + body.result->bytes;
    print(text);
}

void shell::execute(requests::request_counted const& effect)
{
    print("request_counted " + effect.pipeline + " " +
          std::to_string(milliseconds_of(effect.took)) + " ms" +
          (effect.in_target ? " in target" : ""));
}

void shell::print(std::string const& text) const
{
    std::cout << std::setw(4) << milliseconds_of(now_.time_since_epoch())
              << " ms  " << text << '\n';
}

} // namespace embed_decision
