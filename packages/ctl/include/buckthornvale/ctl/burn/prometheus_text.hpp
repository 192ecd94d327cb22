#ifndef BUCKTHORNVALE_CTL_BURN_PROMETHEUS_TEXT_HPP
#define BUCKTHORNVALE_CTL_BURN_PROMETHEUS_TEXT_HPP

#include <map>
#include <string>
#include <string_view>

namespace buckthornvale::ctl
{

//! Name and labels of one time series.
struct series
{
    std::string name;
    std::map<std::string, std::string> labels;

    //! Value of a label; empty when it has none.
    std::string const& label(std::string const& key) const;

    friend bool operator<(series const& a, series const& b)
    {
        return a.name != b.name ? a.name < b.name : a.labels < b.labels;
    }
};

//! Values of series at one time, or their increases over an interval.
using series_values = std::map<series, double>;

//! Parses the Prometheus text format and keeps series whose name starts with
//! the prefix. Lines that are malformed are skipped.
series_values parse_prometheus(std::string_view text, std::string_view prefix);

} // namespace buckthornvale::ctl

#endif
