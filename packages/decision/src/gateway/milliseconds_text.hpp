#ifndef BUCKTHORNVALE_DECISION_GATEWAY_MILLISECONDS_TEXT_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_MILLISECONDS_TEXT_HPP

#include <buckthornvale/decision/core/time.hpp>

#include <string>

namespace buckthornvale::decision::gateway
{

//! Formats a duration in whole milliseconds, for log fields.
inline std::string milliseconds_text(duration value)
{
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

} // namespace buckthornvale::decision::gateway

#endif
