#include <buckthornvale/decision/requests/token_sequence.hpp>

namespace buckthornvale::decision::requests
{

token_verdict token_sequence::add(std::uint64_t index, std::string_view text)
{
    if (index < next_index_)
        return token_verdict::duplicate;
    if (index > next_index_)
        return token_verdict::gap;
    text_.append(text);
    ++next_index_;
    return token_verdict::next;
}

} // namespace buckthornvale::decision::requests
