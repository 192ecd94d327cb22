#include <buckthornvale/decision/retry/retry_budget.hpp>

#include <algorithm>

namespace buckthornvale::decision::retry
{

namespace
{

constexpr std::int64_t millitokens_per_token = 1000;

} // namespace

retry_budget::retry_budget(retry_budget_settings settings) : settings_(settings)
{
}

void retry_budget::configure(retry_budget_settings settings)
{
    settings_ = settings;
    millitokens_ = std::min(millitokens_, settings_.max_millitokens);
}

void retry_budget::record_first_attempt()
{
    ++first_attempts_;
    millitokens_ =
        std::min(settings_.max_millitokens,
                 millitokens_ + settings_.millitokens_per_first_attempt);
}

bool retry_budget::try_take()
{
    if (millitokens_ < millitokens_per_token)
    {
        ++refused_;
        return false;
    }
    millitokens_ -= millitokens_per_token;
    ++taken_;
    return true;
}

void retry_budget::refund()
{
    if (taken_ == 0)
        return;
    --taken_;
    millitokens_ = std::min(settings_.max_millitokens,
                            millitokens_ + millitokens_per_token);
}

double retry_budget::tokens() const
{
    return double(millitokens_) / double(millitokens_per_token);
}

} // namespace buckthornvale::decision::retry
