#ifndef BUCKTHORNVALE_STANDINS_FLEET_PLATFORM_CALLER_HPP
#define BUCKTHORNVALE_STANDINS_FLEET_PLATFORM_CALLER_HPP

#include <string>

namespace buckthornvale::standins::fleet_platform
{

//! A proper request of a caller to the host "h" with the key "key".
struct caller_request
{
    std::string id;
    std::string method;
    std::string path;
    std::string body;
    std::string pieces = {}; //!< by stage, comma-separated; empty: not stated
};

std::string text_of(caller_request const& request);

//! Request line, host and id, for requests that are not proper.
std::string start_of_request(std::string const& method, std::string const& path,
                             std::string const& id);

//! True when the answer bears the word of a runner for its body.
bool is_sealed(std::string const& answer);

} // namespace buckthornvale::standins::fleet_platform

#endif
