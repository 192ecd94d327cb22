#include "common/call.hpp"

#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/core/rank.hpp>
#include <buckthornvale/documents/json_text.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace buckthornvale::standins
{

using documents::parse_json;
using documents::raw_member;
using nlohmann::json;

namespace
{

constexpr std::uint64_t default_tokens = 12;
constexpr std::int64_t max_tokens = 4096;
constexpr std::size_t block_bytes = 256;
constexpr std::size_t max_blocks = 64;

std::uint32_t parse_priority(std::string const& name)
{
    auto const rank =
        decision::parse_rank(name).value_or(decision::rank::standard);
    return static_cast<std::uint32_t>(decision::index_of(rank));
}

} // namespace

std::optional<call> parse_call(std::string const& body)
{
    auto const document = parse_json(body);
    if (!document || !document->is_object() || !document->contains("input"))
        return std::nullopt;
    try
    {
        call value;
        value.request_id = document->at("request_id").get<std::string>();
        value.attempt_id = document->at("attempt_id").get<std::string>();
        value.idempotency_key = document->value("idempotency_key", "");
        value.stage = document->value("stage", "");
        value.model = document->value("model", "");
        value.adapter = document->value("adapter", "");
        value.priority = parse_priority(document->value("priority", ""));
        value.stream = document->value("stream", false);
        value.resume_from = document->value("resume_from", std::uint64_t{0});
        value.input = raw_member(body, "input");
        return value;
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
}

std::string input_digest(std::string_view input)
{
    return absl::StrCat(
        absl::Hex(decision::stable_hash(input), absl::kZeroPad16));
}

std::string make_output(call const& value, std::string const& runner,
                        std::size_t pad)
{
    json output = {{"stage", value.stage},
                   {"digest", input_digest(value.input)},
                   {"runner", runner}};
    if (pad > 0)
        output["pad"] = std::string(pad, 'x');
    return output.dump();
}

std::uint64_t token_count(std::string_view input)
{
    auto const request = parse_json(raw_member(input, "request"));
    if (!request || !request->is_object() || !request->contains("tokens"))
        return default_tokens;
    auto const& tokens = (*request)["tokens"];
    if (!tokens.is_number_unsigned())
        return default_tokens;
    return static_cast<std::uint64_t>(
        std::clamp(tokens.get<std::int64_t>(), std::int64_t{1}, max_tokens));
}

std::string token_text(std::string_view input, std::uint64_t index)
{
    auto const seed = absl::StrCat(input_digest(input), "/", index);
    return absl::StrCat(
        absl::Hex(decision::stable_hash(seed) & 0xffffff, absl::kZeroPad6),
        " ");
}

std::vector<std::uint64_t> prefix_blocks(std::string_view input)
{
    auto const prompt = raw_member(input, "request");
    auto const n = std::min(prompt.size() / block_bytes, max_blocks);
    std::vector<std::uint64_t> blocks;
    for (std::size_t i = 1; i <= n; ++i)
        blocks.push_back(
            decision::stable_hash(prompt.substr(0, i * block_bytes)));
    return blocks;
}

} // namespace buckthornvale::standins
