#ifndef BUCKTHORNVALE_DECISION_REQUESTS_RUNNER_DIRECTORY_HPP
#define BUCKTHORNVALE_DECISION_REQUESTS_RUNNER_DIRECTORY_HPP

#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/core/settings_model.hpp>

#include <absl/container/flat_hash_map.h>

#include <string>
#include <vector>

namespace buckthornvale::decision::requests
{

//! Address and pool of one runner.
struct runner_entry
{
    runner_id id;
    pool_id pool;
    std::string name;
    std::string host; //!< IP number
    std::uint16_t port = 0;
    runner_kind kind = runner_kind::engine;
    bool resumes_streams = false;
    bool answers_outcomes = false;
};

//! Addresses of all runners in the settings in force.
class runner_directory
{
public:
    void assign(fleet_settings const& settings);

    //! Null for a runner that is no longer in the settings.
    runner_entry const* find(runner_id id) const;

    //! A runner of the pool that can be queried for outcomes by key; null when
    //! there is none.
    runner_entry const* outcome_source(pool_id pool) const;

    //! All runners, ordered by pool name and position in the settings.
    std::vector<runner_entry> const& all() const { return entries_; }

private:
    std::vector<runner_entry> entries_;
    absl::flat_hash_map<runner_id, std::size_t> entry_indices_;
};

} // namespace buckthornvale::decision::requests

#endif
