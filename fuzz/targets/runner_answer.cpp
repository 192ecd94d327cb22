#include <buckthornvale/documents/json_text.hpp>
#include <buckthornvale/serving/upstream/runner_codec.hpp>

#include <cmath>
#include <targets/input.hpp>
#include <targets/targets.hpp>

namespace buckthornvale::fuzz
{

namespace
{

namespace upstream = serving::upstream;

void require_json(std::string_view text)
{
    require(documents::parse_json(text).has_value(),
            "an output that is copied into other documents is valid JSON");
}

bool accepts_answer(std::string_view body)
{
    auto const value = upstream::parse_answer(body);
    if (value)
        require_json(value->output);
    return value.has_value();
}

bool accepts_token(std::string_view body)
{
    return upstream::parse_token(body).has_value();
}

bool accepts_end(std::string_view body)
{
    return upstream::parse_stream_end(body).has_value();
}

bool accepts_outcome(std::string_view body)
{
    decision::requests::service_outcome_received outcome;
    upstream::parse_service_outcome(body, outcome);
    if (outcome.result == decision::requests::service_outcome::completed)
        require_json(outcome.output);
    return outcome.result != decision::requests::service_outcome::unavailable;
}

bool accepts_load(std::string_view body)
{
    decision::requests::runner_reported report;
    if (!upstream::parse_load(body, report))
        return false;
    for (auto it :
         {report.running, report.queued, report.slots, report.tokens_per_s})
        require(std::isfinite(it), "load values are finite");
    return true;
}

bool accepts_cache(std::string_view body)
{
    return upstream::parse_cache_page(body, {}).has_value();
}

constexpr target response_kinds[] = {
    {"answer", accepts_answer},   {"token", accepts_token},
    {"end", accepts_end},         {"refusal", upstream::says_not_started},
    {"outcome", accepts_outcome}, {"load", accepts_load},
    {"cache", accepts_cache},
};

} // namespace

bool runner_answer(std::string_view bytes)
{
    auto body = bytes;
    auto const kind = take_line(body);
    for (auto const& it : response_kinds)
    {
        if (it.name == kind)
            return it.run(body);
    }
    return false;
}

} // namespace buckthornvale::fuzz
