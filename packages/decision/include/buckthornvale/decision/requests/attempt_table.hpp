#ifndef BUCKTHORNVALE_DECISION_REQUESTS_ATTEMPT_TABLE_HPP
#define BUCKTHORNVALE_DECISION_REQUESTS_ATTEMPT_TABLE_HPP

#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/core/time.hpp>
#include <buckthornvale/decision/requests/stage_graph.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <vector>

namespace buckthornvale::decision::requests
{

//! One call to a runner for one stage of one request.
struct attempt_state
{
    attempt_id id;
    request_id request;
    stage_index stage = 0;
    runner_id runner;
    time_point started{};
    time_point expires{};         //!< end of the attempt's budget
    bool runner_reserved = false; //!< the runner takes no other attempts
    bool call_open = true;        //!< false: the call ended with the answer of
                                  //!< another attempt
    //! After the call ended with the answer of another attempt: until when the
    //! own answer may still arrive on another call to the same runner.
    time_point crossed_answer_deadline{};
};

//! All attempts in flight of one VM. Ids are never reused, so an answer with an
//! id that is not in the table is late and is discarded.
class attempt_table
{
public:
    explicit attempt_table(std::uint64_t incarnation)
        : incarnation_(incarnation)
    {
    }

    //! Adds an attempt with a new id.
    attempt_state& add(request_id request, stage_index stage, runner_id runner,
                       time_point now, duration budget);

    //! Null when the attempt is not in flight.
    attempt_state* find(attempt_id id);

    void remove(attempt_id id) { attempts_.erase(id); }

    //! Appends the attempts whose time budget has passed, and those whose wait
    //! for a crossed answer is over.
    void expired(time_point now, std::vector<attempt_id>& out) const;

    std::size_t size() const { return attempts_.size(); }

private:
    std::uint64_t incarnation_;
    std::uint64_t last_counter_ = 0;
    absl::flat_hash_map<attempt_id, attempt_state> attempts_;
};

} // namespace buckthornvale::decision::requests

#endif
