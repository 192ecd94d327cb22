#ifndef BUCKTHORNVALE_SERVING_LOG_LOGGING_HPP
#define BUCKTHORNVALE_SERVING_LOG_LOGGING_HPP

#include <buckthornvale/decision/requests/count_messages.hpp>

#include <string>
#include <string_view>

namespace buckthornvale::serving::log
{

using level = decision::requests::state_logged::level;

//! Sets up the log: lines of `least` ("info", "warning", "error" or "off") and
//! above go to standard error. False for another name; nothing is changed.
bool start_logging(std::string_view least);

//! Writes one line. Control characters are written as \xHH, so that text from
//! a caller cannot forge a line. Thread-safe.
void write_log(level severity, std::string_view text);

inline void write_log(decision::requests::state_logged const& message)
{
    write_log(message.severity, message.text);
}

//! The text as it appears in the log.
std::string log_text(std::string_view text);

} // namespace buckthornvale::serving::log

#endif
