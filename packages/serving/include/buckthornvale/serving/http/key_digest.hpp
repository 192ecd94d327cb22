#ifndef BUCKTHORNVALE_SERVING_HTTP_KEY_DIGEST_HPP
#define BUCKTHORNVALE_SERVING_HTTP_KEY_DIGEST_HPP

#include <string>
#include <string_view>

namespace buckthornvale::serving::http
{

//! SHA-256 of a bearer key, as 64 lower-case hexadecimal digits.
std::string key_digest(std::string_view key);

//! The key in an Authorization header; empty when it is not a bearer key.
std::string_view bearer_key(std::string_view header);

//! Compares two digests in constant time. An empty digest equals none.
bool same_digest(std::string_view a, std::string_view b);

} // namespace buckthornvale::serving::http

#endif
