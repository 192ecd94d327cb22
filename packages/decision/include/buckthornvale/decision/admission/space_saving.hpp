#ifndef BUCKTHORNVALE_DECISION_ADMISSION_SPACE_SAVING_HPP
#define BUCKTHORNVALE_DECISION_ADMISSION_SPACE_SAVING_HPP

#include <buckthornvale/decision/core/ids.hpp>

#include <cstddef>
#include <memory>
#include <vector>

namespace buckthornvale::decision::admission
{

//! Sketch that finds the heaviest organisations with a fixed number of counters
//! (space-saving, Metwally et al. 2005).
//!
//! When all counters are in use, a new organisation takes over the smallest
//! counter together with its count. A count is therefore never too low, and too
//! high by at most floor().
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

    //! Multiplies every count, to decay old demand.
    void scale(double factor);

    //! Returns at most `n` entries, heaviest first.
    std::vector<entry> heaviest(std::size_t n) const;

    //! Upper bound on the count of an organisation that has no counter.
    double floor() const;

    std::size_t size() const;

private:
    struct counters;
    std::unique_ptr<counters> counters_;
    std::size_t capacity_;
};

} // namespace buckthornvale::decision::admission

#endif
