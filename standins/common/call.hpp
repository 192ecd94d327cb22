#ifndef BUCKTHORNVALE_STANDINS_COMMON_CALL_HPP
#define BUCKTHORNVALE_STANDINS_COMMON_CALL_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornvale::standins
{

//! A parsed call to an engine or a plain service.
struct call
{
    std::string request_id;
    std::string attempt_id;
    std::string idempotency_key;
    std::string stage;
    std::string input; //!< raw JSON text
    std::string model;
    std::string adapter;
    std::uint32_t priority = 1; //!< 0 is the most urgent
    bool stream = false;
    std::uint64_t resume_from = 0;
};

//! Parses the body of POST /v1/run and POST /v1/call; nothing when a needed
//! field is missing or of the wrong type.
std::optional<call> parse_call(std::string const& body);

//! xxHash3 of an input, 16 hexadecimal digits.
std::string input_digest(std::string_view input);

//! Output of a call: {"stage","digest","runner"}, where `digest` is
//! input_digest(input). `pad` bytes are added under "pad".
std::string make_output(call const& value, std::string const& runner,
                        std::size_t pad);

//! Number of tokens generated for an input: member "tokens" of its member
//! "request" when that is an integer from 1 to 4096, else 12.
std::uint64_t token_count(std::string_view input);

//! The token of one index: a function of the input and the index alone.
std::string token_text(std::string_view input, std::uint64_t index);

//! Hashes of the prompt's prefixes: block i is stable_hash of the first
//! (i + 1) * 256 bytes of the text of the input's member "request"; at most
//! 64 blocks.
std::vector<std::uint64_t> prefix_blocks(std::string_view input);

} // namespace buckthornvale::standins

#endif
