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

//! Progress of one request through the stages of its route. A piece counts
//! once, however often it was made.
class stage_pipeline
{
public:
    stage_pipeline() = default;

    //! `pieces` holds the number of pieces of each stage; a stage that is not
    //! named has one, and one with 0 is left out.
    stage_pipeline(std::vector<route_stage> stages,
                   absl::Span<std::uint32_t const> pieces);

    //! Stages that can start and have not; they count as started afterwards.
    std::vector<std::uint32_t> start_ready_stages();

    //! Pieces of a stage that has started and that have no result.
    std::vector<std::uint32_t> missing_pieces(std::uint32_t stage) const;

    //! True while a stage that has started lacks a result.
    bool awaits_results(std::uint32_t stage) const;

    //! Results of the stages that this one needs, in their order.
    std::vector<std::string> inputs_of(std::uint32_t stage) const;

    //! False when the result is not needed: a repeat, or of a former round.
    bool add_result(piece_result const& result);

    //! The piece has read its inputs.
    void mark_inputs_read(piece_result const& progress);

    //! Results that only stages needed that have read them. Each is returned
    //! once, with its service.
    std::vector<std::pair<std::string, std::string>> take_unneeded_results();

    //! All results that were not returned as unneeded.
    std::vector<std::pair<std::string, std::string>> take_all_results();

    //! Starts again from the first stage, because results were lost.
    void restart();

    bool complete() const;

    //! Results that the request itself needs: those of the stages that no
    //! other stage follows.
    std::vector<std::string> final_results() const;

    route_stage const& stage(std::uint32_t n) const
    {
        return stages_[n].definition;
    }
    std::uint32_t round() const { return round_; }
    bool empty() const { return stages_.empty(); }
    std::size_t size() const { return stages_.size(); }
    bool started(std::uint32_t n) const { return stages_[n].started; }

    //! Pieces of the stage.
    std::uint32_t piece_count(std::uint32_t n) const
    {
        return static_cast<std::uint32_t>(stages_[n].results.size());
    }

    //! Longest sum of times from the start of the stage to the end of the last
    //! one. `times` holds the time of each stage.
    duration remaining_time(std::uint32_t stage,
                            absl::Span<duration const> times) const;

private:
    struct stage_state
    {
        route_stage definition;
        std::vector<std::string> results;
        std::vector<bool> read_by_piece; //!< pieces that have read their inputs
        bool started = false;
        bool released = false;
        bool terminal = true; //!< no stage with pieces follows it

        bool done() const;
        bool inputs_read() const;
    };

    std::vector<std::pair<std::string, std::string>>
    take_stage_results(stage_state& state);

    std::vector<stage_state> stages_;
    std::uint32_t round_ = 0;
};

} // namespace buckthornvale::decision::gateway

#endif
