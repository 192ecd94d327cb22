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

//! Counters of all VMs that responded to one scrape, by VM.
struct snapshot
{
    std::int64_t at_ms = 0; //!< Unix time
    std::map<std::string, series_values> vms;
};

//! Scrapes the metrics of all entry VMs. Nullopt if the platform does not list
//! the VMs or no VM responds.
std::optional<snapshot> take_snapshot(context& ctx);

//! Serializes the snapshot as one line of JSON.
std::string to_json_line(snapshot const& value);

//! Appends the snapshot to a file; false if the file cannot be written.
bool append_snapshot(std::string const& file, snapshot const& value);

//! Reads a file of snapshots and sorts them by time. Skips malformed lines,
//! such as a truncated last one. Nullopt if the file cannot be read.
std::optional<std::vector<snapshot>> read_snapshots(std::string const& file);

//! Increase of the fleet's counters between two consecutive snapshots.
struct interval
{
    std::int64_t from_ms = 0;
    std::int64_t to_ms = 0;
    series_values increases;
};

//! Computes the increases between consecutive snapshots. A counter that
//! decreased was reset by a restart and counts from 0. A VM that first appears
//! in a later snapshot counts from 0; a VM that was missing from some snapshots
//! counts from its last known value.
std::vector<interval> intervals_of(std::vector<snapshot> const& snapshots);

} // namespace buckthornvale::ctl

#endif
