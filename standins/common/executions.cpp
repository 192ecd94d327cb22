#include "common/executions.hpp"

#include <nlohmann/json.hpp>

namespace buckthornvale::standins
{

void executions::add(std::string const& request, std::string const& attempt,
                     std::string const& idempotency_key)
{
    std::lock_guard lock(mutex_);
    ++total_;
    ++by_request_[request];
    ++by_attempt_[attempt];
    if (!idempotency_key.empty())
        ++by_key_[idempotency_key];
}

void executions::add_cancel()
{
    std::lock_guard lock(mutex_);
    ++cancels_;
}

std::string executions::to_json() const
{
    std::lock_guard lock(mutex_);
    nlohmann::json const value = {{"total", total_},
                                  {"cancels", cancels_},
                                  {"by_request", by_request_},
                                  {"by_attempt", by_attempt_},
                                  {"by_key", by_key_}};
    return value.dump();
}

std::uint64_t executions::total() const
{
    std::lock_guard lock(mutex_);
    return total_;
}

} // namespace buckthornvale::standins
