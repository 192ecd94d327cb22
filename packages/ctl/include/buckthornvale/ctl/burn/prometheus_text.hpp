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

    //! Value of a label; empty if the series lacks the label.
    std::string const& label(std::string const& key) const;

    friend bool operator<(series const& a, series const& b)
    {
        return a.name != b.name ? a.name < b.name : a.labels < b.labels;
    }
};

//! Values of time series at one instant, or their increases over an interval.
using series_values = std::map<series, double>;

//! Parses the Prometheus text format. Keeps only series whose name starts with
//! the prefix, and skips malformed lines.
series_values parse_prometheus(std::string_view text, std::string_view prefix);

} // namespace buckthornvale::ctl

#endif
