#ifndef BUCKTHORNVALE_DECISION_TESTS_REDUCER_SUPPORT_VM_FIXTURE_HPP
#define BUCKTHORNVALE_DECISION_TESTS_REDUCER_SUPPORT_VM_FIXTURE_HPP

#include <buckthornvale/decision/reducer/reducer.hpp>

#include <map>
#include <string>
#include <vector>

namespace buckthornvale::decision::testing
{

//! Fake of the platform's object store with conditional writes. It can simulate
//! an outage, and answers that are lost after the write was applied.
class fake_store
{
public:
    bookings::store_answer apply(bookings::read_object const& call);
    bookings::store_answer apply(bookings::write_object const& call);
    bookings::store_answer apply(bookings::delete_object const& call);

    bool outage = false;
    int lost_answers_left = 0;
    int writes = 0;

private:
    struct kept_object
    {
        std::uint64_t version = 0;
        std::string value;
    };

    std::map<std::string, kept_object> objects_;
    std::uint64_t revision_ = 0;
};

//! Settings for the tests: pipelines `answer` (encode, then a streamed generate
//! stage), `fan` (two parallel stages joined by a last one) and `booking`
//! (encode, then a non-repeatable stage). Each pool has `runners` runners.
fleet_settings test_settings(int runners);

//! One reducer with a virtual clock. Store calls are answered immediately by
//! the fake store; attempts stay open until the test ends them.
class vm_fixture
{
public:
    explicit vm_fixture(fake_store& store, std::string const& name = "vm-1",
                        int runners = 3);

    void post(event value);
    void advance(duration by);

    //! Sends a request; its answer is stored in `answers`.
    request_id send(std::string const& pipeline, std::string const& key = {},
                    bool stream = false,
                    std::string const& input = "{\"q\":1}");
    void disconnect_caller(request_id id) { post(requests::caller_gone{id}); }

    //! Ends an attempt. `complete_as` ends `call` with the answer of another
    //! attempt.
    void complete(requests::start_attempt const& attempt,
                  std::string const& output);
    void complete_as(requests::start_attempt const& call,
                     requests::start_attempt const& answered,
                     std::string const& output);
    void fail(requests::start_attempt const& attempt,
              requests::attempt_outcome how, bool crashed = false);
    void token(requests::start_attempt const& attempt, std::uint64_t index,
               std::string const& text);
    void end_stream(requests::start_attempt const& attempt,
                    std::uint64_t count);

    //! Removes and returns the oldest started attempt; fails the test when
    //! there is none.
    requests::start_attempt next_attempt();

    bool has_answer(request_id id) const { return answers.count(id) > 0; }
    double counted(requests::counter which) const;

    std::map<request_id, requests::answer> answers;
    std::map<request_id, int> answer_counts;
    std::vector<requests::send_token> tokens;
    std::vector<requests::start_attempt> attempts;
    std::vector<requests::cancel_attempt> cancels;
    std::vector<send_order> orders;
    set_peer_targets targets; //!< most recent value
    time_point now{std::chrono::seconds(1)};
    wall_time wall{std::chrono::hours(500000)};
    reducer vm;

private:
    void execute(effects& out);
    void answer_lease(pool_id pool, std::uint64_t call,
                      bookings::store_answer const& answer);

    fake_store& store_;
    fleet_settings settings_;
    std::map<requests::counter, double> counts_;
    std::uint64_t incarnation_;
    std::uint64_t next_request_ = 0;
};

} // namespace buckthornvale::decision::testing

#endif
