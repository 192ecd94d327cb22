#ifndef BUCKTHORNVALE_GATEWAY_OBSERVE_LOG_WRITER_HPP
#define BUCKTHORNVALE_GATEWAY_OBSERVE_LOG_WRITER_HPP

#include <buckthornvale/decision/core/time.hpp>
#include <buckthornvale/decision/gateway/effect.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace buckthornvale::gateway::observe
{

//! Writes log entries as JSON lines to a non-blocking file descriptor. Lines
//! beyond the rate limit or the buffer limit are dropped and counted, and long
//! values are cut.
class log_writer
{
public:
    static constexpr std::uint32_t max_lines_per_second = 500;

    //! Lines are dropped while more bytes wait to be written.
    static constexpr std::size_t max_buffered_bytes = 262'144;

    log_writer(int descriptor, std::string vm_name);

    void write(decision::gateway::log_decision const& value,
               decision::time_point now);

    //! Writes as much of the buffer as the descriptor accepts.
    void flush();

    std::uint64_t dropped_lines() const { return dropped_lines_; }

private:
    void append_line(decision::gateway::log_decision const& value);

    int const descriptor_;
    std::string const vm_name_;
    std::string buffer_;
    std::int64_t current_second_ = -1;
    std::uint32_t lines_this_second_ = 0;
    std::uint64_t dropped_lines_ = 0;
    std::uint64_t reported_dropped_ = 0;
};

} // namespace buckthornvale::gateway::observe

#endif
