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

//! Names one stage of one pipeline: stable_hash("<pipeline>/<stage>").
using stage_key = std::uint64_t;

//! A stage on the longest path that is still to run.
struct remaining_stage
{
    stage_key key = 0;
    duration expected{}; //!< from settings, until times are measured
};

//! Splits what is left of a deadline over the stages still to run, in
//! proportion to their measured p95. A stage that was fast leaves its rest to
//! the ones after it, since each split starts from the deadline.
class deadline_split
{
public:
    //! Stages known at once; the one longest unused is dropped beyond them.
    static constexpr std::size_t max_stages = 1024;

    void record(stage_key stage, duration took);

    //! Budget of each stage of a path, in order; they sum to the time left.
    //! All are zero when no time is left.
    void split(absl::Span<remaining_stage const> path, time_point deadline,
               time_point now, std::vector<duration>& out) const;

    //! Budget of the first stage of the path alone.
    duration budget(absl::Span<remaining_stage const> path, time_point deadline,
                    time_point now) const;

    //! Measured quantile, or the expected time until enough are measured.
    duration quantile(remaining_stage const& stage, double probability) const;

    //! Sum of the path's quantiles: the usual time that it still needs.
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
