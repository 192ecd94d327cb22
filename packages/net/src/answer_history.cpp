#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/net/answer_history.hpp>

namespace buckthornvale::net
{

bool answer_history::contains(std::string_view mark) const
{
    return hashes_.contains(decision::stable_hash(mark));
}

void answer_history::add(std::string_view mark)
{
    hashes_.insert(decision::stable_hash(mark));
}

} // namespace buckthornvale::net
