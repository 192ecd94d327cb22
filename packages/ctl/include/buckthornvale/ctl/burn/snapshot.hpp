#ifndef BUCKTHORNVALE_CTL_BURN_SNAPSHOT_HPP
#define BUCKTHORNVALE_CTL_BURN_SNAPSHOT_HPP

#include <buckthornvale/ctl/burn/prometheus_text.hpp>
#include <buckthornvale/ctl/cli/context.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace buckthornvale::ctl
{

//! Counters of all VMs that answered at one time.
struct snapshot
{
    std::int64_t at_ms = 0; //!< UTC, since 1970
    std::map<std::string, series_values> vms;
};

//! Reads the metrics of all entry VMs; nothing when the platform does not
//! list them or no VM answers.
std::optional<snapshot> take_snapshot(context& ctx);

//! One line of JSON.
std::string to_json_line(snapshot const& value);

//! Appends to a file of snapshots; false when it cannot be written.
bool append_snapshot(std::string const& file, snapshot const& value);

//! Reads a file of snapshots in order of time; a line that is cut off is
//! skipped. Nothing when the file cannot be read.
std::optional<std::vector<snapshot>> read_snapshots(std::string const& file);

//! Increase of the fleet's counters between one snapshot and the one before.
struct interval
{
    std::int64_t from_ms = 0;
    std::int64_t to_ms = 0;
    series_values increases;
};

//! Increases between consecutive snapshots. A counter that fell was reset by
//! a restart and counts from 0. A VM that appears later counts from 0; one
//! that was missing in between counts from its last value.
std::vector<interval> intervals_of(std::vector<snapshot> const& snapshots);

} // namespace buckthornvale::ctl

#endif
