#ifndef BUCKTHORNVALE_DECISION_REQUESTS_TOKEN_SEQUENCE_HPP
#define BUCKTHORNVALE_DECISION_REQUESTS_TOKEN_SEQUENCE_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace buckthornvale::decision::requests
{

//! What to do with one token of a stream.
enum class token_verdict
{
    next,      //!< continues the stream
    duplicate, //!< was there already, as after a resume
    gap        //!< a token before it is missing: the stream is broken
};

//! Generated text of one stage over all of its attempts. It only ever grows by
//! the next index, so the text is whole up to `next_index`.
class token_sequence
{
public:
    //! Judges a token and appends it when it is the next one.
    token_verdict add(std::uint64_t index, std::string_view text);

    //! True when a stream that named `count` tokens at its end is whole.
    bool is_complete(std::uint64_t count) const { return count == next_index_; }

    std::uint64_t next_index() const { return next_index_; }
    std::string const& text() const { return text_; }

private:
    std::uint64_t next_index_ = 0;
    std::string text_;
};

} // namespace buckthornvale::decision::requests

#endif
