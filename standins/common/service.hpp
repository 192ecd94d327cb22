#ifndef BUCKTHORNVALE_STANDINS_COMMON_SERVICE_HPP
#define BUCKTHORNVALE_STANDINS_COMMON_SERVICE_HPP

#include "common/standin_server.hpp"

namespace buckthornvale::standins
{

//! Stand-in for a plain service (design 4.3). It does not recognise a repeated
//! idempotency key, so that a second execution shows in the counts. GET
//! /v1/outcome?key= answers {"state":"completed","output"},
//! {"state":"running"} or {"state":"not_seen"}; 404 where the service cannot
//! be asked.
class service : public standin_server
{
public:
    service(standin_settings settings, bool answers_outcomes);
    ~service() override;

private:
    void run(httplib::Request const&, httplib::Response&);
    void outcome(httplib::Request const&, httplib::Response&);
    std::string load_json();
    void record(std::string const& key, std::string output);

    bool const answers_outcomes_;
    std::mutex outcomes_mutex_;
    std::map<std::string, std::string> outcomes_; //!< empty: running
    std::atomic<std::uint64_t> load_sequence_{0};
};

} // namespace buckthornvale::standins

#endif
