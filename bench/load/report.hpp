#ifndef BUCKTHORNVALE_BENCH_LOAD_REPORT_HPP
#define BUCKTHORNVALE_BENCH_LOAD_REPORT_HPP

#include <boost/histogram.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace buckthornvale::bench::load
{

//! What one request came to.
struct request_result
{
    std::size_t rank = 0;
    bool is_booking = false;
    std::string outcome; //!< as the response says; "none" without a response
    int status = 0;      //!< HTTP status; 0 without a response
    std::string error;   //!< kind of the error; empty when completed
    std::chrono::nanoseconds took{}; //!< from the time it was due
};

struct rank_target
{
    std::string name;
    double target_ms = 0.;
};

//! Sums results. Safe to call from several threads.
class report
{
public:
    explicit report(std::vector<rank_target> ranks);

    void add(request_result const& result);

    //! `seconds` is the length of the run.
    nlohmann::json to_json(double seconds) const;

private:
    using axis =
        boost::histogram::axis::regular<double,
                                        boost::histogram::axis::transform::log>;
    using histogram = decltype(boost::histogram::make_histogram(axis()));

    struct rank_sums
    {
        rank_target target;
        std::uint64_t sent = 0;
        std::uint64_t within_target = 0; //!< completed within the target
        std::map<std::string, std::uint64_t> outcomes;
        histogram completed_ms;
    };

    static nlohmann::json to_json(rank_sums const& sums);

    mutable std::mutex mutex_;
    std::uint64_t bookings_ = 0;
    std::vector<rank_sums> ranks_;
    std::map<std::string, std::uint64_t> errors_;
    std::map<std::string, std::uint64_t> statuses_;
};

//! The same values as lines of text.
std::string to_text(nlohmann::json const& report);

} // namespace buckthornvale::bench::load

#endif
