#include <buckthornvale/serving/metrics/label_set.hpp>

#include <algorithm>

namespace buckthornvale::serving::metrics
{

label_set::label_set(std::size_t max_names) : max_names_(max_names) {}

void label_set::set(absl::Span<std::string const> names)
{
    std::lock_guard lock(mutex_);
    named_.clear();
    for (auto const& it : names.first(std::min(names.size(), max_names_)))
    {
        auto const known = ever_named_.count(it) > 0;
        if (!known && ever_named_.size() >= 2 * max_names_)
            continue;
        ever_named_.insert(it);
        named_.insert(it);
    }
}

std::string label_set::value_of(std::string const& name) const
{
    std::lock_guard lock(mutex_);
    return named_.count(name) > 0 ? name : "other";
}

} // namespace buckthornvale::serving::metrics
