#ifndef BUCKTHORNVALE_STANDINS_FLEET_PLATFORM_MANIFEST_HPP
#define BUCKTHORNVALE_STANDINS_FLEET_PLATFORM_MANIFEST_HPP

#include <buckthornvale/decision/gateway/manifest.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace buckthornvale::standins::fleet_platform
{

//! A route as an operator plans it.
struct route_plan
{
    std::string path; //!< prefix
    decision::gateway::request_kind kind;
    std::string service;
    int attempts = 1;
    bool resumable = false;
    std::string stage; //!< service of its only stage; empty for none
};

//! A manifest with the routes on the host "h", a plain service, an engine and
//! a stage service of these names, and the key "key" of the organisation "org".
nlohmann::json manifest_of(int version, std::vector<route_plan> const& routes);

} // namespace buckthornvale::standins::fleet_platform

#endif
