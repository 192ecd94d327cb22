#include <buckthornvale/decision/gateway/announced_stage_table.hpp>

#include <utility>

namespace buckthornvale::decision::gateway
{

void announced_stage_table::add(std::uint64_t key, announced_pieces entry)
{
    entries_[key] = std::move(entry);
}

void announced_stage_table::withdraw(
    std::string const& member, absl::flat_hash_set<request_ref> const& requests)
{
    absl::erase_if(entries_,
                   [&](map::value_type const& it) {
                       return it.second.member == member &&
                              requests.contains(it.second.request);
                   });
}

void announced_stage_table::withdraw_all(std::string const& member)
{
    absl::erase_if(entries_, [&](map::value_type const& it)
                   { return it.second.member == member; });
}

void announced_stage_table::withdraw_all_but(std::string const& member)
{
    absl::erase_if(entries_, [&](map::value_type const& it)
                   { return it.second.member != member; });
}

void announced_stage_table::expire(time_point now)
{
    absl::erase_if(entries_, [&](map::value_type const& it)
                   { return it.second.due <= now; });
}

} // namespace buckthornvale::decision::gateway
