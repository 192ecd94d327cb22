#include <buckthornvale/decision/requests/runner_directory.hpp>

namespace buckthornvale::decision::requests
{

namespace
{

runner_entry entry_of(pool_settings const& pool, runner_settings const& runner)
{
    runner_entry entry;
    entry.id = runner_id::of(runner.name);
    entry.pool = pool_id::of(pool.name);
    entry.name = runner.name;
    entry.host = runner.host;
    entry.port = runner.port;
    entry.kind = pool.kind;
    entry.resumes_streams = pool.resumes_streams;
    entry.answers_outcomes = pool.answers_outcomes;
    return entry;
}

} // namespace

void runner_directory::assign(fleet_settings const& settings)
{
    entries_.clear();
    entry_indices_.clear();
    for (auto const& [name, pool] : settings.pools)
    {
        for (auto const& it : pool.runners)
        {
            entries_.push_back(entry_of(pool, it));
            entry_indices_[entries_.back().id] = entries_.size() - 1;
        }
    }
}

runner_entry const* runner_directory::find(runner_id id) const
{
    auto const it = entry_indices_.find(id);
    return it == entry_indices_.end() ? nullptr : &entries_[it->second];
}

runner_entry const* runner_directory::outcome_source(pool_id pool) const
{
    for (auto const& it : entries_)
    {
        if (it.pool == pool && it.answers_outcomes)
            return &it;
    }
    return nullptr;
}

} // namespace buckthornvale::decision::requests
