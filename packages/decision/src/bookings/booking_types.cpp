#include <buckthornvale/decision/bookings/booking_types.hpp>
#include <buckthornvale/decision/core/text.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <xxhash.h>

namespace buckthornvale::decision::bookings
{

namespace
{

constexpr std::size_t half_digits = 16;

bool parse_half(std::string_view text, std::uint64_t& value)
{
    // SimpleHexAtoi also accepts a sign, whitespace and a prefix.
    if (text.find_first_not_of("0123456789abcdef") != std::string_view::npos)
        return false;
    return absl::SimpleHexAtoi(as_absl(text), &value);
}

} // namespace

digest128 digest128::of(std::string_view text)
{
    auto const hash = XXH3_128bits(text.data(), text.size());
    return {hash.high64, hash.low64};
}

std::string to_text(digest128 value)
{
    return absl::StrCat(absl::Hex(value.high, absl::kZeroPad16),
                        absl::Hex(value.low, absl::kZeroPad16));
}

bool parse_digest(std::string_view text, digest128& value)
{
    return text.size() == 2 * half_digits &&
           parse_half(text.substr(0, half_digits), value.high) &&
           parse_half(text.substr(half_digits), value.low);
}

claim_id id_of(booking_key const& key)
{
    return digest128::of(absl::StrCat(
        absl::Hex(key.organisation.value, absl::kZeroPad16), "/", key.key));
}

std::string path_of(shard_address address)
{
    return absl::StrCat("claims/", address.window, "/", address.shard);
}

booking_result make_result(std::string bytes)
{
    booking_result result;
    result.digest = digest128::of(bytes);
    result.size = bytes.size();
    result.bytes = std::move(bytes);
    if (result.size > max_result_bytes)
        return truncate(std::move(result));
    return result;
}

booking_result truncate(booking_result result)
{
    result.bytes = std::string();
    result.truncated = true;
    return result;
}

} // namespace buckthornvale::decision::bookings
