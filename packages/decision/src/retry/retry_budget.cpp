#include <buckthornvale/decision/retry/retry_budget.hpp>

#include <algorithm>

namespace buckthornvale::decision::retry
{

namespace
{

constexpr std::int64_t one_token = 1000;

} // namespace

retry_budget::retry_budget(retry_budget_settings settings) : settings_(settings)
{
}

void retry_budget::first_attempt()
{
    ++first_attempts_;
    tokens_ =
        std::min(settings_.most, tokens_ + settings_.earned_per_first_attempt);
}

bool retry_budget::take()
{
    if (tokens_ < one_token)
    {
        ++refused_;
        return false;
    }
    tokens_ -= one_token;
    ++taken_;
    return true;
}

void retry_budget::give_back()
{
    if (taken_ == 0)
        return;
    --taken_;
    tokens_ = std::min(settings_.most, tokens_ + one_token);
}

double retry_budget::tokens() const
{
    return double(tokens_) / double(one_token);
}

} // namespace buckthornvale::decision::retry
