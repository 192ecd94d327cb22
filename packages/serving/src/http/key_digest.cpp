#include <buckthornvale/decision/core/text.hpp>
#include <buckthornvale/serving/http/key_digest.hpp>

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/strip.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace buckthornvale::serving::http
{

namespace
{

constexpr std::string_view scheme = "Bearer ";

} // namespace

std::string key_digest(std::string_view key)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<unsigned char const*>(key.data()), key.size(),
           digest.data());
    return absl::BytesToHexString(
        {reinterpret_cast<char const*>(digest.data()), digest.size()});
}

std::string_view bearer_key(std::string_view header)
{
    if (!absl::StartsWithIgnoreCase(decision::as_absl(header),
                                    decision::as_absl(scheme)))
        return {};
    header.remove_prefix(scheme.size());
    return decision::as_std(
        absl::StripAsciiWhitespace(decision::as_absl(header)));
}

bool same_digest(std::string_view a, std::string_view b)
{
    return !a.empty() && a.size() == b.size() &&
           CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace buckthornvale::serving::http
