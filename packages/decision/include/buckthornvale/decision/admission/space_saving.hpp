#ifndef BUCKTHORNVALE_DECISION_ADMISSION_SPACE_SAVING_HPP
#define BUCKTHORNVALE_DECISION_ADMISSION_SPACE_SAVING_HPP

#include <buckthornvale/decision/core/ids.hpp>

#include <cstddef>
#include <memory>
#include <vector>

namespace buckthornvale::decision::admission
{

//! Sketch of the heaviest organisations in a fixed number of counters.
//!
//! When all counters are taken, a new organisation takes over the smallest
//! one with its count (space-saving, Metwally et al. 2005): a count is never
//! too low and too high by at most floor().
class space_saving
{
public:
    struct entry
    {
        organisation_id organisation;
        double count = 0.0;
    };

    explicit space_saving(std::size_t capacity);
    ~space_saving();
    space_saving(space_saving&&) noexcept;
    space_saving& operator=(space_saving&&) noexcept;

    void add(organisation_id id, double amount);

    //! Multiplies every count; used to forget old demand.
    void scale(double factor);

    //! The heaviest entries, heaviest first; at most `n`.
    std::vector<entry> heaviest(std::size_t n) const;

    //! Upper bound of the count of an organisation that has no counter.
    double floor() const;

    std::size_t size() const;

private:
    struct counters;
    std::unique_ptr<counters> counters_;
    std::size_t capacity_;
};

} // namespace buckthornvale::decision::admission

#endif
