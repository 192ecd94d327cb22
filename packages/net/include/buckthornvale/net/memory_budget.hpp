#ifndef BUCKTHORNVALE_NET_MEMORY_BUDGET_HPP
#define BUCKTHORNVALE_NET_MEMORY_BUDGET_HPP

#include <algorithm>
#include <cstddef>
#include <limits>
#include <memory>
#include <utility>

namespace buckthornvale::net
{

//! Counts the bytes that clients make a process hold. It refuses nothing
//! itself: a holder asks first whether more fits, and counts what it holds.
class memory_budget
{
public:
    static constexpr std::size_t unlimited =
        std::numeric_limits<std::size_t>::max();

    explicit memory_budget(std::size_t max_bytes = unlimited)
        : max_bytes_(max_bytes)
    {
    }

    //! Bytes of one holder. They are returned when it is destroyed, which may
    //! be after the process has given up the budget.
    class charge
    {
    public:
        explicit charge(std::shared_ptr<memory_budget> budget)
            : budget_(std::move(budget))
        {
        }
        ~charge() { resize(0); }
        charge(charge const&) = delete;
        charge& operator=(charge const&) = delete;

        //! Counts this number of bytes in place of the former one.
        void resize(std::size_t bytes);

        std::size_t bytes() const { return bytes_; }

    private:
        std::shared_ptr<memory_budget> budget_;
        std::size_t bytes_ = 0;
    };

    //! True if so many bytes are left.
    bool fits(std::size_t bytes) const { return fits_after(0, bytes); }

    //! True if so many bytes are left once the holders have returned `freed`.
    bool fits_after(std::size_t freed, std::size_t bytes) const
    {
        auto const held = held_ - std::min(freed, held_);
        return held <= max_bytes_ && bytes <= max_bytes_ - held;
    }

    //! Bytes of all holders; more than the maximum if a holder did not ask.
    std::size_t held() const { return held_; }
    std::size_t max_bytes() const { return max_bytes_; }

    //! What large messages leave free for small ones.
    std::size_t reserve() const
    {
        return max_bytes_ == unlimited ? 0 : max_bytes_ / 4;
    }

private:
    std::size_t const max_bytes_;
    std::size_t held_ = 0;
};

} // namespace buckthornvale::net

#endif
