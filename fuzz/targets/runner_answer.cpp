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
            "an output that is copied into other documents is JSON");
}

bool answer(std::string_view body)
{
    auto const value = upstream::parse_answer(body);
    if (value)
        require_json(value->output);
    return value.has_value();
}

bool token(std::string_view body)
{
    return upstream::parse_token(body).has_value();
}

bool end(std::string_view body)
{
    return upstream::parse_stream_end(body).has_value();
}

bool outcome(std::string_view body)
{
    decision::requests::service_outcome_received told;
    upstream::parse_service_outcome(body, told);
    if (told.result == decision::requests::service_outcome::completed)
        require_json(told.output);
    return told.result != decision::requests::service_outcome::unavailable;
}

bool load(std::string_view body)
{
    decision::requests::runner_reported report;
    if (!upstream::parse_load(body, report))
        return false;
    for (auto it :
         {report.running, report.queued, report.slots, report.tokens_per_s})
        require(std::isfinite(it), "load is finite");
    return true;
}

bool cache(std::string_view body)
{
    return upstream::parse_cache_page(body, {}).has_value();
}

constexpr target kinds[] = {
    {"answer", answer},   {"token", token},
    {"end", end},         {"refusal", upstream::says_not_started},
    {"outcome", outcome}, {"load", load},
    {"cache", cache},
};

} // namespace

bool runner_answer(std::string_view bytes)
{
    auto body = bytes;
    auto const kind = take_line(body);
    for (auto const& it : kinds)
    {
        if (it.name == kind)
            return it.run(body);
    }
    return false;
}

} // namespace buckthornvale::fuzz
