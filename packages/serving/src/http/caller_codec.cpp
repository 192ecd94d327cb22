#include <buckthornvale/decision/core/text.hpp>
#include <buckthornvale/documents/json_text.hpp>
#include <buckthornvale/serving/http/caller_codec.hpp>
#include <buckthornvale/serving/http/key_digest.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/string_view.h>

#include <algorithm>

namespace buckthornvale::serving::http
{

namespace requests = decision::requests;

using decision::as_absl;
using decision::error;
using decision::error_kind;
using nlohmann::json;
using requests::caller_request;

namespace
{

constexpr std::size_t max_name_size = 128;

//! Bounds deadlines before they are converted to nanoseconds.
constexpr std::int64_t max_deadline_ms = std::int64_t{24} * 3600 * 1000;

error malformed(std::string detail)
{
    return {error_kind::malformed_request, std::move(detail)};
}

error bad_field(std::string_view field, std::string_view remedy)
{
    return malformed(
        absl::StrCat("field '", as_absl(field), "' ", as_absl(remedy)));
}

bool read_name(json const& value, std::string& out)
{
    if (!value.is_string() || !is_plain_name(value.get<std::string>()))
        return false;
    out = value.get<std::string>();
    return true;
}

bool read_organisation(json const& value, caller_request& call)
{
    return read_name(value, call.organisation);
}

bool read_rank(json const& value, caller_request& call)
{
    if (!value.is_string())
        return false;
    auto const parsed = decision::parse_rank(value.get<std::string>());
    if (parsed)
        call.work_rank = *parsed;
    return parsed.has_value();
}

//! Reads an integer in [low, high].
bool read_integer(json const& value, std::int64_t low, std::int64_t high,
                  std::int64_t& out)
{
    if (!value.is_number_integer())
        return false;
    if (value.is_number_unsigned() &&
        value.get<std::uint64_t>() > static_cast<std::uint64_t>(high))
        return false;
    out = value.get<std::int64_t>();
    return out >= low && out <= high;
}

bool read_deadline(json const& value, caller_request& call)
{
    std::int64_t ms = 0;
    if (!read_integer(value, 1, max_deadline_ms, ms))
        return false;
    call.deadline = std::chrono::milliseconds(ms);
    return true;
}

bool read_key(json const& value, caller_request& call)
{
    return read_name(value, call.idempotency_key);
}

bool read_issued_at(json const& value, caller_request& call)
{
    constexpr std::int64_t latest = std::int64_t{1} << 52;
    std::int64_t ms = 0;
    if (!read_integer(value, 0, latest, ms))
        return false;
    call.issued_at = decision::wall_time(std::chrono::milliseconds(ms));
    return true;
}

bool read_stream(json const& value, caller_request& call)
{
    if (!value.is_boolean())
        return false;
    call.stream = value.get<bool>();
    return true;
}

//! The input is copied from the body's text later.
bool read_input(json const&, caller_request&)
{
    return true;
}

struct field
{
    std::string_view name;
    bool required;
    bool (*read)(json const&, caller_request&);
    std::string_view remedy;
};

constexpr field fields[] = {
    {"organisation", true, read_organisation,
     "must be a string of 1 to 128 letters, digits or ._:~-"},
    {"rank", true, read_rank,
     "must be one of 'urgent', 'standard' and 'background'"},
    {"deadline_ms", true, read_deadline,
     "must be an integer between 1 and 86400000"},
    {"idempotency_key", false, read_key,
     "must be a string of 1 to 128 letters, digits or ._:~-"},
    {"issued_at_ms", false, read_issued_at,
     "must be an integer, milliseconds since 1970 UTC"},
    {"stream", false, read_stream, "must be true or false"},
    {"input", true, read_input, "must be a JSON value"},
};

bool is_known(std::string_view name)
{
    return std::any_of(std::begin(fields), std::end(fields),
                       [&](field const& it) { return it.name == name; });
}

error read_fields(json const& body, caller_request& call)
{
    // A misspelt optional field, above all the idempotency key, would
    // otherwise be dropped without notice.
    for (auto const& it : body.items())
    {
        if (!is_known(it.key()))
            return bad_field(it.key(), "is unknown; remove or correct it");
    }
    for (auto const& it : fields)
    {
        auto const member = body.find(it.name);
        if (member == body.end() && it.required)
            return bad_field(
                it.name, absl::StrCat("is missing; it ", as_absl(it.remedy)));
        if (member != body.end() && !it.read(*member, call))
            return bad_field(it.name, it.remedy);
    }
    return {};
}

double milliseconds(decision::duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

json encode_stages(std::vector<requests::stage_trace> const& stages)
{
    auto out = json::array();
    for (auto const& it : stages)
    {
        out.push_back({{"stage", it.stage},
                       {"runner", it.runner},
                       {"ms", milliseconds(it.took)},
                       {"attempts", it.attempts}});
    }
    return out;
}

json encode_error(error const& value)
{
    auto const& traits = decision::traits_of(value.kind);
    return {{"kind", traits.name},
            {"message", decision::message_of(value)},
            {"remedy", traits.remedy}};
}

std::string encode_result(requests::stage_output const& value)
{
    return value.is_text ? documents::write_json(value.bytes) : value.bytes;
}

//! Kinds for which an outcome query fails, as against the errors that a
//! finished request can have.
bool fails_query(error_kind kind)
{
    switch (kind)
    {
    case error_kind::malformed_request:
    case error_kind::unauthenticated:
    case error_kind::forbidden:
    case error_kind::unknown_pipeline:
    case error_kind::rate_limited:
    case error_kind::store_unavailable:
    case error_kind::not_ready:
    case error_kind::shutting_down:
    case error_kind::outcome_pending:
    case error_kind::unknown_key:
        return true;
    default:
        return false;
    }
}

} // namespace

bool is_plain_name(std::string_view name)
{
    constexpr std::string_view marks = "._:~-";
    auto const plain = [&](char c)
    {
        return absl::ascii_isalnum(static_cast<unsigned char>(c)) ||
               marks.find(c) != std::string_view::npos;
    };
    return !name.empty() && name.size() <= max_name_size &&
           std::all_of(name.begin(), name.end(), plain);
}

parsed_request parse_caller_request(std::string_view pipeline,
                                    std::string_view authorization,
                                    std::string_view body)
{
    auto const key = bearer_key(authorization);
    if (key.empty())
        return error{error_kind::unauthenticated,
                     "header 'Authorization' is missing or is not a bearer "
                     "key"};
    if (!is_plain_name(pipeline))
        return malformed("the pipeline's name in the path must have 1 to 128 "
                         "letters, digits or ._:~-");
    auto const document = documents::parse_json(body);
    if (!document)
        return malformed("the body must be JSON in UTF-8, nested at most 64 "
                         "levels deep");
    if (!document->is_object())
        return malformed("the body must be a JSON object");
    caller_request call;
    if (auto failure = read_fields(*document, call))
        return failure;
    call.pipeline = pipeline;
    call.key_sha256 = key_digest(key);
    call.input = documents::raw_member(body, "input");
    return call;
}

namespace
{

std::string outcome_url(requests::answer const& value,
                        answer_context const& context)
{
    auto url = absl::StrCat("/v1/outcomes/", value.outcome_key,
                            "?organisation=", context.organisation);
    if (value.outcome_issued_at)
    {
        auto const issued_at = value.outcome_issued_at->time_since_epoch();
        absl::StrAppend(&url, "&issued_at_ms=", issued_at.count());
    }
    return url;
}

} // namespace

std::string encode_answer(requests::answer const& value,
                          answer_context const& context)
{
    json body = {{"outcome", requests::name_of(value.result_kind)},
                 {"request_id", decision::to_text(context.request)},
                 {"stages", encode_stages(value.stages)}};
    if (value.failure)
        body["error"] = encode_error(value.failure);
    if (value.result_kind != requests::outcome::completed)
        body["safe_to_repeat"] = value.safe_to_repeat;
    if (value.retry_after > decision::duration::zero())
        body["retry_after_ms"] =
            std::chrono::ceil<std::chrono::milliseconds>(value.retry_after)
                .count();
    if (!value.outcome_key.empty())
        body["outcome_url"] = outcome_url(value, context);
    auto text = documents::write_json(body);
    if (value.result)
        documents::append_raw_member(text, "result",
                                     encode_result(*value.result));
    return text;
}

int status_of_answer(requests::answer const& value)
{
    if (value.result_kind == requests::outcome::completed)
        return 200;
    return decision::traits_of(value.failure.kind).http_status;
}

int status_of_query(requests::answer const& value)
{
    if (fails_query(value.failure.kind))
        return decision::traits_of(value.failure.kind).http_status;
    return 200;
}

std::string encode_token(requests::send_token const& value)
{
    return documents::write_json(
        {{"index", value.index}, {"text", value.text}});
}

std::string encode_event(std::string_view name, std::string_view data)
{
    // A stage's raw JSON may span lines; inside strings JSON escapes them, so
    // they are white space here, but they would end the event's data.
    std::string line(data);
    std::replace(line.begin(), line.end(), '\n', ' ');
    std::replace(line.begin(), line.end(), '\r', ' ');
    return absl::StrCat("event: ", as_absl(name), "\ndata: ", line, "\n\n");
}

} // namespace buckthornvale::serving::http
