#ifndef BUCKTHORNVALE_STANDINS_COMMON_EXECUTIONS_HPP
#define BUCKTHORNVALE_STANDINS_COMMON_EXECUTIONS_HPP

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace buckthornvale::standins
{

//! Counts what a stand-in executed. Thread-safe.
class executions
{
public:
    //! Counts one execution; an empty idempotency key is not counted.
    void add(std::string const& request, std::string const& attempt,
             std::string const& idempotency_key);

    //! Counts one POST /v1/cancel.
    void add_cancel();

    //! Body of GET /executions: {"total","cancels","by_request":{id:count},
    //! "by_attempt":{..},"by_key":{..}}.
    std::string to_json() const;
    std::uint64_t total() const;

private:
    using counts = std::map<std::string, std::uint64_t>;

    mutable std::mutex mutex_;
    std::uint64_t total_ = 0;
    std::uint64_t cancels_ = 0;
    counts by_request_;
    counts by_attempt_;
    counts by_key_;
};

} // namespace buckthornvale::standins

#endif
