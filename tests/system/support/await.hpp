#ifndef BUCKTHORNVALE_TESTS_SYSTEM_SUPPORT_AWAIT_HPP
#define BUCKTHORNVALE_TESTS_SYSTEM_SUPPORT_AWAIT_HPP

#include <chrono>
#include <stdexcept>
#include <string>
#include <thread>

namespace buckthornvale::tests
{

//! Aborts a test that hangs; no test depends on the exact duration.
constexpr std::chrono::milliseconds hang_timeout{60'000};

//! Polls the condition until it holds. Throws std::runtime_error after
//! `hang_timeout`.
template <class Condition>
void await(std::string const& description, Condition condition)
{
    auto const deadline = std::chrono::steady_clock::now() + hang_timeout;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > deadline)
            throw std::runtime_error("timed out waiting for " + description);
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
}

} // namespace buckthornvale::tests

#endif
