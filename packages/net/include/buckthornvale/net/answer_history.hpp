#ifndef BUCKTHORNVALE_NET_ANSWER_HISTORY_HPP
#define BUCKTHORNVALE_NET_ANSWER_HISTORY_HPP

#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace buckthornvale::net
{

//! What the answers on one connection contained that no other answer contains.
//! A server may write an answer again, as late as the end of the connection
//! that carried it, where the answer to another call is due. Nothing is
//! forgotten before that end: a connection whose history is full carries no
//! further call.
class answer_history
{
public:
    //! About 150 KB of memory. The last call can exceed it.
    static constexpr std::size_t capacity = 8192;

    //! True for what was added. Rarely true for something else.
    bool contains(std::string_view mark) const;
    void add(std::string_view mark);
    bool is_full() const { return hashes_.size() >= capacity; }

private:
    absl::flat_hash_set<std::uint64_t> hashes_;
};

} // namespace buckthornvale::net

#endif
