#ifndef BUCKTHORNVALE_DECISION_GATEWAY_STAGE_PIPELINE_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_STAGE_PIPELINE_HPP

#include <buckthornvale/decision/gateway/manifest.hpp>
#include <buckthornvale/decision/gateway/stage_message.hpp>

#include <absl/types/span.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace buckthornvale::decision::gateway
{

//! Progress of one request through the stages of its route. Each piece
//! contributes one result, even if it was executed several times.
class stage_pipeline
{
public:
    stage_pipeline() = default;

    //! The stages must pass `check_stages`. `pieces` holds the number of pieces
    //! by stage; if it is empty, each stage has one. Stages with 0 pieces are
    //! skipped.
    stage_pipeline(std::vector<route_stage> stages,
                   absl::Span<std::uint32_t const> pieces);

    //! Marks all stages as started whose inputs are complete, and returns those
    //! that have pieces.
    std::vector<std::uint32_t> start_ready_stages();

    //! Pieces of a started stage that have no result yet.
    std::vector<std::uint32_t> missing_pieces(std::uint32_t stage) const;

    //! True if the stage has started and lacks results.
    bool awaits_results(std::uint32_t stage) const;

    //! Results of the stages that this stage reads, in their order.
    std::vector<std::string> inputs_of(std::uint32_t stage) const;

    //! Returns false if the result is not needed, because it is a duplicate or
    //! belongs to an earlier round.
    bool add_result(piece_result const& result);

    //! Marks the inputs of the piece as read.
    void mark_inputs_read(piece_result const& progress);

    //! Returns the results that all dependent stages have read, with the
    //! service of each. Each result is returned once.
    std::vector<std::pair<std::string, std::string>> take_unneeded_results();

    //! Returns all results that were not returned before.
    std::vector<std::pair<std::string, std::string>> take_all_results();

    //! Restarts from the first stage after results were lost.
    void restart();

    bool complete() const;

    //! Results that are input of the request itself: those of the stages that
    //! no other stage reads.
    std::vector<std::string> final_results() const;

    route_stage const& stage(std::uint32_t n) const
    {
        return stages_[n].definition;
    }
    std::uint32_t round() const { return round_; }
    bool empty() const { return stages_.empty(); }
    std::size_t size() const { return stages_.size(); }
    bool started(std::uint32_t n) const { return stages_[n].started; }

    //! Number of pieces of the stage.
    std::uint32_t piece_count(std::uint32_t n) const
    {
        return static_cast<std::uint32_t>(stages_[n].results.size());
    }

    //! Time of the critical path from the start of the stage to the end of the
    //! last stage. `times` holds the time of each stage.
    duration remaining_time(std::uint32_t stage,
                            absl::Span<duration const> times) const;

    //! Time until the end of the last stage if all stages start from now on.
    //! `times` holds the time of each stage, `waits` the time until the runners
    //! have processed what is before it. Both run while earlier stages run.
    duration finish_time(absl::Span<duration const> times,
                         absl::Span<duration const> waits) const;

private:
    struct stage_state
    {
        route_stage definition;
        std::vector<std::string> results;
        //! Whether each piece has read its inputs.
        std::vector<bool> read_by_piece;
        bool started = false;
        bool released = false;
        bool terminal = true; //!< no stage with pieces reads its results

        bool done() const;
        bool inputs_read() const;
    };

    std::vector<std::pair<std::string, std::string>>
    take_stage_results(stage_state& state);

    std::vector<stage_state> stages_;
    std::vector<std::uint32_t> order_; //!< in which they can run
    std::uint32_t round_ = 0;
};

} // namespace buckthornvale::decision::gateway

#endif
