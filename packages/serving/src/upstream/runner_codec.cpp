#include <buckthornvale/decision/core/rank.hpp>
#include <buckthornvale/documents/json_text.hpp>
#include <buckthornvale/serving/upstream/runner_codec.hpp>

namespace buckthornvale::serving::upstream
{

namespace requests = decision::requests;

using documents::append_raw_member;
using documents::parse_json;
using documents::raw_member;
using documents::write_json;
using nlohmann::json;

namespace
{

//! Largest age of a load report that is taken at its word.
constexpr double max_age_ms = 3600. * 1000.;

bool read_attempt(json const& object, decision::attempt_id& out)
{
    auto const it = object.find("attempt_id");
    return it != object.end() && it->is_string() &&
           decision::parse_counted_id(it->get_ref<std::string const&>(),
                                      out.incarnation, out.counter);
}

bool read_count(json const& object, char const* name, std::uint64_t& out)
{
    auto const it = object.find(name);
    if (it == object.end() || !it->is_number_unsigned())
        return false;
    out = it->get<std::uint64_t>();
    return true;
}

double read_number(json const& object, char const* name)
{
    auto const it = object.find(name);
    return it != object.end() && it->is_number() ? it->get<double>() : 0.;
}

std::vector<std::string> read_names(json const& object, char const* name)
{
    std::vector<std::string> names;
    auto const it = object.find(name);
    if (it == object.end() || !it->is_array())
        return names;
    for (auto const& item : *it)
    {
        if (item.is_string())
            names.push_back(item.get<std::string>());
    }
    return names;
}

std::string encode_results(std::vector<requests::stage_input> const& results)
{
    std::string object = "{}";
    for (auto const& it : results)
    {
        auto const name = write_json(it.stage);
        auto const& bytes = it.output->bytes;
        append_raw_member(object, name.substr(1, name.size() - 2),
                          it.output->is_text ? write_json(bytes) : bytes);
    }
    return object;
}

std::optional<requests::cache_change> parse_change(json const& kind)
{
    if (kind == "add")
        return requests::cache_change::add;
    if (kind == "remove")
        return requests::cache_change::remove;
    if (kind == "clear")
        return requests::cache_change::clear;
    return std::nullopt;
}

std::optional<requests::runner_cache_changed>
parse_cache_event(json const& object, decision::runner_id runner)
{
    requests::runner_cache_changed event;
    event.runner = runner;
    if (!object.is_object() || !read_count(object, "sequence", event.sequence))
        return std::nullopt;
    auto const kind = object.find("kind");
    auto const change =
        kind == object.end() ? std::nullopt : parse_change(*kind);
    if (!change)
        return std::nullopt;
    event.change = *change;
    auto const blocks = object.find("blocks");
    if (blocks == object.end() || !blocks->is_array())
        return event;
    for (auto const& it : *blocks)
    {
        if (it.is_number_unsigned())
            event.blocks.push_back(it.get<std::uint64_t>());
    }
    return event;
}

void add_engine_fields(json& body, requests::start_attempt const& value)
{
    body["stage"] = value.stage;
    body["budget_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(value.budget)
            .count();
    body["priority"] = decision::name_of(value.priority);
    body["stream"] = value.stream;
    if (value.resume_from > 0)
        body["resume_from"] = value.resume_from;
    if (!value.model.empty())
        body["model"] = value.model;
    if (!value.adapter.empty())
        body["adapter"] = value.adapter;
}

} // namespace

std::string encode_attempt(requests::start_attempt const& value)
{
    json body = {{"request_id", decision::to_text(value.request)},
                 {"attempt_id", decision::to_text(value.attempt)}};
    if (value.kind == decision::runner_kind::engine)
        add_engine_fields(body, value);
    else if (!value.idempotency_key.empty())
        body["idempotency_key"] = value.idempotency_key;
    std::string input = "{}";
    append_raw_member(input, "request", value.input ? *value.input : "null");
    append_raw_member(input, "results", encode_results(value.results));
    auto text = write_json(body);
    append_raw_member(text, "input", input);
    return text;
}

std::optional<runner_answer> parse_answer(std::string_view body)
{
    auto const document = parse_json(body);
    runner_answer value;
    if (!document || !document->is_object() || !document->contains("output") ||
        !read_attempt(*document, value.attempt))
        return std::nullopt;
    value.output = raw_member(body, "output");
    return value;
}

std::optional<requests::attempt_token> parse_token(std::string_view data)
{
    auto const document = parse_json(data);
    requests::attempt_token value;
    if (!document || !document->is_object() ||
        !read_attempt(*document, value.answered_attempt) ||
        !read_count(*document, "index", value.index))
        return std::nullopt;
    auto const text = document->find("text");
    if (text == document->end() || !text->is_string())
        return std::nullopt;
    value.text = text->get<std::string>();
    return value;
}

std::optional<stream_end> parse_stream_end(std::string_view data)
{
    auto const document = parse_json(data);
    stream_end value;
    if (!document || !document->is_object() ||
        !read_attempt(*document, value.attempt) ||
        !read_count(*document, "count", value.count))
        return std::nullopt;
    return value;
}

bool says_not_started(std::string_view body)
{
    auto const document = parse_json(body);
    if (!document || !document->is_object())
        return false;
    auto const it = document->find("started");
    return it != document->end() && it->is_boolean() && !it->get<bool>();
}

void parse_service_outcome(std::string_view body,
                           requests::service_outcome_received& told)
{
    auto const document = parse_json(body);
    if (!document || !document->is_object())
        return;
    auto const state = document->find("state");
    if (state == document->end())
        return;
    if (*state == "not_seen")
        told.result = requests::service_outcome::not_seen;
    if (*state != "completed" || !document->contains("output"))
        return;
    told.result = requests::service_outcome::completed;
    told.output = raw_member(body, "output");
}

bool parse_load(std::string_view body, requests::runner_reported& report)
{
    auto const document = parse_json(body);
    if (!document || !document->is_object() ||
        !read_count(*document, "sequence", report.sequence))
        return false;
    auto const age = read_number(*document, "age_ms");
    if (!(age >= 0. && age <= max_age_ms))
        return false;
    report.age = decision::from_seconds(age / 1000.);
    report.running = read_number(*document, "running");
    report.queued = read_number(*document, "queued");
    report.slots = read_number(*document, "slots");
    report.tokens_per_s = read_number(*document, "tokens_per_s");
    auto const leaving = document->find("leaving");
    report.leaving = leaving != document->end() && *leaving == true;
    report.models = read_names(*document, "models");
    report.adapters = read_names(*document, "adapters");
    report.reachable = true;
    return true;
}

std::optional<cache_page> parse_cache_page(std::string_view body,
                                           decision::runner_id runner)
{
    auto const document = parse_json(body);
    cache_page page;
    if (!document || !document->is_object() ||
        !read_count(*document, "next", page.next))
        return std::nullopt;
    auto const events = document->find("events");
    if (events == document->end() || !events->is_array())
        return std::nullopt;
    for (auto const& it : *events)
    {
        if (auto event = parse_cache_event(it, runner))
            page.events.push_back(std::move(*event));
    }
    return page;
}

} // namespace buckthornvale::serving::upstream
