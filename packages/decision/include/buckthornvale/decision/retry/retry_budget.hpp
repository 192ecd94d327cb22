#ifndef BUCKTHORNVALE_DECISION_RETRY_RETRY_BUDGET_HPP
#define BUCKTHORNVALE_DECISION_RETRY_RETRY_BUDGET_HPP

#include <cstdint>

namespace buckthornvale::decision::retry
{

//! Amounts are in thousandths of a token, so that fractions earned by many
//! first attempts add up without rounding errors.
struct retry_budget_settings
{
    std::int64_t millitokens_per_first_attempt = 100; //!< 0.1 token
    std::int64_t max_millitokens = 10'000;            //!< 10 tokens
};

//! Token bucket of one VM for retries and hedges. It starts empty, so with the
//! default settings extra attempts never exceed a tenth of first attempts. The
//! same bound holds for the sum over all VMs without coordination.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_settings settings = {});

    //! Changes the limits; tokens above the new maximum are discarded.
    void configure(retry_budget_settings settings);

    void record_first_attempt();

    //! Takes a token; returns false when none is available.
    bool try_take();

    //! Returns the token of an attempt that was not sent after all.
    void refund();

    double tokens() const;
    std::uint64_t first_attempts() const { return first_attempts_; }
    std::uint64_t taken() const { return taken_; }
    std::uint64_t refused() const { return refused_; }

private:
    retry_budget_settings settings_;
    std::int64_t millitokens_ = 0; //!< thousandths
    std::uint64_t first_attempts_ = 0;
    std::uint64_t taken_ = 0;
    std::uint64_t refused_ = 0;
};

} // namespace buckthornvale::decision::retry

#endif
