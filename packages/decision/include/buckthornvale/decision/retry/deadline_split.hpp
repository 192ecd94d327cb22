#ifndef BUCKTHORNVALE_DECISION_RETRY_DEADLINE_SPLIT_HPP
#define BUCKTHORNVALE_DECISION_RETRY_DEADLINE_SPLIT_HPP

#include <buckthornvale/decision/core/time.hpp>
#include <buckthornvale/decision/retry/stage_times.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace buckthornvale::decision::retry
{

//! Identifies one stage of one pipeline: stable_hash("<pipeline>/<stage>").
using stage_key = std::uint64_t;

//! A stage on the longest path that has not finished yet.
struct remaining_stage
{
    stage_key key = 0;
    duration expected{}; //!< from the settings; used until enough
    //!< times are measured
};

//! Divides the time left until a deadline among the remaining stages, in
//! proportion to their measured p95. Each call starts from the deadline, so
//! time that a fast stage did not use is available to the later ones.
class deadline_split
{
public:
    //! Maximum number of stages kept; the one that was recorded least recently
    //! is evicted.
    static constexpr std::size_t max_stages = 1024;

    void record(stage_key stage, duration took);

    //! Writes the budget of each stage of a path to `out`, in order. The
    //! budgets add up to the time left and are all zero when none is left.
    void split(absl::Span<remaining_stage const> path, time_point deadline,
               time_point now, std::vector<duration>& out) const;

    //! Budget of the first stage of the path.
    duration budget(absl::Span<remaining_stage const> path, time_point deadline,
                    time_point now) const;

    //! Measured quantile of the stage's times, or its expected time until
    //! enough samples exist.
    duration quantile(remaining_stage const& stage, double probability) const;

    //! Sum of the quantiles of the stages on the path.
    duration needed(absl::Span<remaining_stage const> path,
                    double probability) const;

    std::uint64_t sample_count(stage_key stage) const;

private:
    struct stage_record
    {
        stage_times times;
        std::uint64_t last_used = 0;
    };

    void evict_least_recently_used();

    absl::flat_hash_map<stage_key, stage_record> stages_;
    std::uint64_t record_count_ = 0;
};

} // namespace buckthornvale::decision::retry

#endif
