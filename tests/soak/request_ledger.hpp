#ifndef BUCKTHORNVALE_TESTS_SOAK_REQUEST_LEDGER_HPP
#define BUCKTHORNVALE_TESTS_SOAK_REQUEST_LEDGER_HPP

#include <buckthornvale/net/clock.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace buckthornvale::soak
{

using net::duration;
using net::time_point;

//! Time that callers wait for an answer.
constexpr std::chrono::milliseconds caller_deadline{3000};

//! What may happen to a request.
struct request_rules
{
    bool at_most_once = false;
    bool is_stream = false; //!< goes on at one runner at a time
};

//! What callers and runners saw of each request, and which promises it broke.
class request_ledger
{
public:
    void sent(std::string const& id, request_rules rules, time_point now);

    //! Its last byte was sent.
    void sent_whole(std::string const& id, time_point now);

    //! A runner received the request and runs it.
    void run_started(std::string const& id, std::string const& runner,
                     time_point now);

    //! The runner has answered, or noticed that its connection has ended.
    void run_ended(std::string const& id, std::string const& runner,
                   time_point now);

    //! A runner received the request and refused it.
    void refused_by_runner(std::string const& id);

    //! The caller received a whole answer. `expected_body` is that of a
    //! success.
    void answered(std::string const& id, std::string const& answer_id,
                  int status, std::string const& body,
                  std::string const& expected_body);

    //! The connection ended without a whole answer. `excused` tells that the VM
    //! was killed meanwhile.
    void connection_ended(std::string const& id, bool excused, time_point now);

    //! The caller gave up long after its deadline.
    void not_answered_in_time(std::string const& id);

    void add_violation(std::string text);

    //! Judges what is known only at the end. Returns all broken promises.
    std::vector<std::string> finish();

    std::string summary() const;

private:
    struct entry
    {
        time_point sent_at{};
        request_rules rules;
        bool promised_not_run = false;
        bool reached_runner = false;
        bool lost = false;
        duration lost_after{};
        int executions = 0;
        //! Runners that work on it, with the time since which another one does
        //! too.
        std::map<std::string, std::optional<time_point>> runs;
    };

    std::map<std::string, entry> entries_;
    std::map<int, std::size_t> answers_by_status_;
    std::vector<std::string> violations_;
    std::size_t excused_ = 0;
    std::size_t crossed_ = 0;
};

} // namespace buckthornvale::soak

#endif
