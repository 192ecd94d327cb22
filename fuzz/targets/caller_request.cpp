#include <buckthornvale/documents/json_text.hpp>
#include <buckthornvale/serving/http/caller_codec.hpp>

#include <targets/input.hpp>
#include <targets/targets.hpp>

namespace buckthornvale::fuzz
{

bool caller_request(std::string_view bytes)
{
    namespace http = serving::http;
    auto body = bytes;
    auto const pipeline = take_line(body);
    auto const authorization = take_line(body);
    auto const parsed =
        http::parse_caller_request(pipeline, authorization, body);
    auto const* call = std::get_if<decision::requests::caller_request>(&parsed);
    if (call == nullptr)
        return false;
    require(http::is_plain_name(call->organisation),
            "the organisation is a plain name");
    require(call->deadline > decision::duration::zero(),
            "the deadline is positive");
    // `input` is a slice of the body's text. With wrong bounds the pipeline
    // would run on a different input.
    auto const document = documents::parse_json(body);
    auto const input = documents::parse_json(call->input);
    require(input.has_value(), "the input is JSON");
    require(*input == document->at("input"),
            "the input equals the input member of the body");
    return true;
}

} // namespace buckthornvale::fuzz
