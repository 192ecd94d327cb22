#ifndef BUCKTHORNVALE_DECISION_REQUESTS_TOKEN_SEQUENCE_HPP
#define BUCKTHORNVALE_DECISION_REQUESTS_TOKEN_SEQUENCE_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace buckthornvale::decision::requests
{

//! Position of a token relative to the tokens received before.
enum class token_verdict
{
    next,      //!< the expected token; it was appended
    duplicate, //!< received before, for example after a resume
    gap        //!< an earlier token is missing: the stream is broken
};

//! Generated text of one stage across all of its attempts. Tokens are appended
//! in order of index only, so the text has no gaps before `next_index`.
class token_sequence
{
public:
    //! Classifies a token and appends it when it is the next one.
    token_verdict add(std::uint64_t index, std::string_view text);

    //! True when all tokens of a stream with `count` tokens were received.
    bool is_complete(std::uint64_t count) const { return count == next_index_; }

    std::uint64_t next_index() const { return next_index_; }
    std::string const& text() const { return text_; }

private:
    std::uint64_t next_index_ = 0;
    std::string text_;
};

} // namespace buckthornvale::decision::requests

#endif
