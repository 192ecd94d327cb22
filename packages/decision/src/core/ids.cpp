#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/core/text.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <xxhash.h>

namespace buckthornvale::decision
{

namespace
{

constexpr std::size_t incarnation_digits = 16;

} // namespace

std::uint64_t stable_hash(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

double stable_fraction(std::string_view text)
{
    constexpr std::uint64_t steps = 1000;
    return double(stable_hash(text) % steps) / steps;
}

std::string to_text(std::uint64_t incarnation, std::uint64_t counter)
{
    return absl::StrCat(absl::Hex(incarnation, absl::kZeroPad16), "-", counter);
}

bool parse_counted_id(std::string_view text, std::uint64_t& incarnation,
                      std::uint64_t& counter)
{
    if (text.size() < incarnation_digits + 2 || text[incarnation_digits] != '-')
        return false;
    auto const digits = text.substr(0, incarnation_digits);
    auto const rest = text.substr(incarnation_digits + 1);
    return absl::SimpleHexAtoi(as_absl(digits), &incarnation) &&
           absl::SimpleAtoi(as_absl(rest), &counter);
}

} // namespace buckthornvale::decision
