#include <buckthornvale/decision/gateway/announced_stages.hpp>

#include <utility>

namespace buckthornvale::decision::gateway
{

void announced_stages::add(std::uint64_t key, announced_pieces entry)
{
    entries_[key] = std::move(entry);
}

void announced_stages::withdraw(
    std::string const& member, absl::flat_hash_set<request_ref> const& requests)
{
    absl::erase_if(entries_,
                   [&](table::value_type const& it) {
                       return it.second.member == member &&
                              requests.contains(it.second.request);
                   });
}

void announced_stages::withdraw_all(std::string const& member)
{
    absl::erase_if(entries_, [&](table::value_type const& it)
                   { return it.second.member == member; });
}

void announced_stages::expire(time_point now)
{
    absl::erase_if(entries_, [&](table::value_type const& it)
                   { return it.second.due <= now; });
}

} // namespace buckthornvale::decision::gateway
