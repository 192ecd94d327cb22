#ifndef BUCKTHORNVALE_TESTS_SYSTEM_SUPPORT_AWAIT_HPP
#define BUCKTHORNVALE_TESTS_SYSTEM_SUPPORT_AWAIT_HPP

#include <chrono>
#include <stdexcept>
#include <string>
#include <thread>

namespace buckthornvale::tests
{

//! Only ends a hung test; no scenario depends on its length.
constexpr std::chrono::milliseconds hang_limit{60'000};

//! Waits until the condition holds. Throws std::runtime_error at the limit.
template <class Condition>
void await(std::string const& what, Condition condition)
{
    auto const end = std::chrono::steady_clock::now() + hang_limit;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > end)
            throw std::runtime_error("waited in vain for " + what);
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
}

} // namespace buckthornvale::tests

#endif
