#include <buckthornvale/decision/admission/space_saving.hpp>

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index_container.hpp>

#include <algorithm>

namespace buckthornvale::decision::admission
{

namespace
{

namespace mi = boost::multi_index;

//! The id is already a hash.
struct id_hash
{
    std::size_t operator()(organisation_id id) const
    {
        return static_cast<std::size_t>(id.value);
    }
};

using entry = space_saving::entry;
using by_id =
    mi::hashed_unique<mi::member<entry, organisation_id, &entry::organisation>,
                      id_hash>;
using by_count =
    mi::ordered_non_unique<mi::member<entry, double, &entry::count>>;

} // namespace

struct space_saving::counters
    : mi::multi_index_container<entry, mi::indexed_by<by_id, by_count>>
{
};

space_saving::space_saving(std::size_t capacity)
    : counters_(std::make_unique<space_saving::counters>()),
      capacity_(std::max<std::size_t>(capacity, 1))
{
}

space_saving::~space_saving() = default;
space_saving::space_saving(space_saving&&) noexcept = default;
space_saving& space_saving::operator=(space_saving&&) noexcept = default;

void space_saving::add(organisation_id id, double amount)
{
    auto& ids = counters_->get<0>();
    auto const it = ids.find(id);
    if (it != ids.end())
    {
        ids.modify(it, [&](entry& e) { e.count += amount; });
        return;
    }
    if (counters_->size() < capacity_)
    {
        ids.insert(entry{id, amount});
        return;
    }
    auto& counts = counters_->get<1>();
    counts.modify(counts.begin(),
                  [&](entry& e)
                  {
                      e.organisation = id;
                      e.count += amount;
                  });
}

void space_saving::scale(double factor)
{
    // Scaling keeps the order by count, so the entries are copied in order.
    counters scaled;
    for (auto const& it : counters_->get<1>())
        scaled.get<1>().insert(entry{it.organisation, it.count * factor});
    counters_->swap(scaled);
}

std::vector<space_saving::entry> space_saving::heaviest(std::size_t n) const
{
    auto const& counts = counters_->get<1>();
    std::vector<entry> out;
    out.reserve(std::min(n, counts.size()));
    for (auto it = counts.rbegin(); it != counts.rend() && out.size() < n; ++it)
        out.push_back(*it);
    return out;
}

double space_saving::floor() const
{
    if (counters_->size() < capacity_)
        return 0.0;
    return counters_->get<1>().begin()->count;
}

std::size_t space_saving::size() const
{
    return counters_->size();
}

} // namespace buckthornvale::decision::admission
