#include "overload_gate.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace buckthornvale::bench
{

namespace
{

class level_gate : public overload_gate
{
public:
    bool admit(decision::rank r, std::size_t caller, double now) override
    {
        roll(now);
        auto const level = level_of(r, caller);
        ++offered_[level];
        if (level > admitted_)
            return false;
        ++passed_;
        return true;
    }

    bool drop(double, double) override { return false; }

    void started(double waited, double) override
    {
        wait_sum_ += waited;
        ++waits_;
    }

private:
    static constexpr std::size_t caller_levels = 64;
    static constexpr std::size_t levels = decision::rank_count * caller_levels;
    static constexpr double window = 0.25;   //!< seconds
    static constexpr double longest = 0.020; //!< mean wait, seconds

    static std::size_t level_of(decision::rank r, std::size_t caller)
    {
        return index_of(r) * caller_levels +
               caller * 2654435761U % caller_levels;
    }

    //! Aims at 5% fewer requests than passed, or 1% more.
    void roll(double now)
    {
        if (now - begun_ < window)
            return;
        auto const mean = waits_ > 0 ? wait_sum_ / waits_ : 0.0;
        auto const aim = passed_ * (mean > longest ? 0.95 : 1.01) +
                         (mean > longest ? 0.0 : 1.0);
        double sum = 0.0;
        std::size_t level = 0;
        while (level + 1 < levels && sum + offered_[level] <= aim)
            sum += offered_[level++];
        admitted_ = level;
        offered_.fill(0.0);
        passed_ = wait_sum_ = waits_ = 0.0;
        begun_ = now;
    }

    std::array<double, levels> offered_{};
    std::size_t admitted_ = levels - 1;
    double passed_ = 0.0;
    double wait_sum_ = 0.0;
    double waits_ = 0.0;
    double begun_ = 0.0;
};

class ageing_gate : public overload_gate
{
public:
    bool admit(decision::rank, std::size_t, double) override { return true; }

    bool drop(double waited, double now) override
    {
        if (waited < target)
        {
            above_since_ = -1.0;
            drops_ = 0;
            return false;
        }
        if (above_since_ < 0.0)
            above_since_ = now;
        if (now - above_since_ < interval || now < next_drop_)
            return false;
        ++drops_;
        next_drop_ = now + interval / std::sqrt(drops_);
        return true;
    }

    void started(double, double) override {}

private:
    static constexpr double target = 0.020;   //!< seconds
    static constexpr double interval = 0.100; //!< seconds

    double above_since_ = -1.0;
    double next_drop_ = 0.0;
    double drops_ = 0.0;
};

} // namespace

std::unique_ptr<overload_gate> make_level_gate()
{
    return std::make_unique<level_gate>();
}

std::unique_ptr<overload_gate> make_ageing_gate()
{
    return std::make_unique<ageing_gate>();
}

} // namespace buckthornvale::bench
