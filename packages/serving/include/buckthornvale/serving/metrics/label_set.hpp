#ifndef BUCKTHORNVALE_SERVING_METRICS_LABEL_SET_HPP
#define BUCKTHORNVALE_SERVING_METRICS_LABEL_SET_HPP

#include <absl/types/span.h>

#include <cstddef>
#include <mutex>
#include <set>
#include <string>

namespace buckthornvale::serving::metrics
{

//! Bounds the values of one label. Thread-safe.
class label_set
{
public:
    explicit label_set(std::size_t max_names);

    //! Names that are values of their own; those above the bound are not. A
    //! name keeps its series when it leaves the list, so the number of names
    //! over the whole life of a process is bounded too, by twice the bound.
    void set(absl::Span<std::string const> names);

    //! The name itself, or "other".
    std::string value_of(std::string const& name) const;

private:
    std::size_t const max_names_;
    mutable std::mutex mutex_;
    std::set<std::string> named_;
    std::set<std::string> ever_named_;
};

} // namespace buckthornvale::serving::metrics

#endif
