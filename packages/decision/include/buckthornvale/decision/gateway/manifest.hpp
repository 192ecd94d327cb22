#ifndef BUCKTHORNVALE_DECISION_GATEWAY_MANIFEST_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_MANIFEST_HPP

#include <buckthornvale/decision/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

//! Routes, services and organisations that the operator has put in force.
namespace buckthornvale::decision::gateway
{

//! What a route allows to be repeated.
enum class request_kind
{
    idempotent, //!< may run any number of times
    at_most_once,
    stream //!< server-sent events; at most once unless it may be resumed
};

//! Work that a service does on pieces of a request before it can run.
struct route_stage
{
    std::string service;
    std::vector<std::uint32_t> after; //!< stages whose results it needs
    double result_bytes = 0;          //!< approximate size of one result
};

struct weighted_service
{
    std::string service;
    double weight = 1;
};

struct route
{
    std::string name;
    std::string host;
    std::string path_prefix; //!< begins and ends with a slash
    request_kind kind = request_kind::at_most_once;
    duration timeout{};
    duration target_latency{};
    int rank = 0; //!< 0 is the most urgent
    std::vector<weighted_service> services;
    std::uint32_t max_attempts = 1; //!< runners that may run one request
    std::vector<route_stage> stages;
    bool allow_anonymous = false;
    bool sticky = false;    //!< requests of one session share cached prompts
    bool resumable = false; //!< a stream may go on at another runner
    duration gap_target{};  //!< longest pause between events of a stream

    bool repeatable() const
    {
        return kind == request_kind::idempotent ||
               (kind == request_kind::stream && resumable);
    }
};

//! Limits of one runner of a stage service.
struct piece_limits
{
    std::uint32_t slots = 1; //!< calls in progress
    std::uint32_t queue = 0; //!< calls that may wait
    std::uint32_t batch = 1; //!< pieces of one call
    duration call_time{};    //!< fixed part of a call
    duration piece_time{};   //!< part of a call for each piece
    double result_bytes = 0; //!< room for results
    duration result_lifetime{};
};

//! Limits of one model runner.
struct engine_limits
{
    std::uint32_t slots = 1;
    double cache_tokens = 0;
};

struct service
{
    std::string name;
    std::string health_path;
    std::uint32_t connection_limit = 0; //!< of one runner, over all VMs
    std::optional<engine_limits> engine;
    std::optional<piece_limits> pieces;
};

//! Bounds on what a caller may send and how long it may take.
struct caller_limits
{
    std::size_t max_header_bytes = 16'384;
    std::size_t max_body_bytes = 4'194'304;
    duration header_timeout = std::chrono::seconds(3);
    duration idle_timeout = std::chrono::seconds(15);
};

struct organisation
{
    std::string name;
    std::optional<int> rank; //!< goes before the rank of the route
};

//! One version of the manifest, indexed for look-ups. Immutable once built.
class manifest
{
public:
    std::uint64_t version = 0;
    caller_limits limits;
    std::map<std::string, service, std::less<>> services;
    //! False when requests carry no keys at all.
    bool has_organisations = false;

    void add_route(route value);
    void add_key(std::string key, organisation owner);

    //! Route of the host with the longest prefix of the path.
    route const* find_route(std::string_view host, std::string_view path) const;

    //! Owner of the key.
    organisation const* find_organisation(std::string_view key) const;

    service const* find_service(std::string_view name) const;

    std::size_t route_count() const { return route_count_; }

private:
    //! Routes by host, longest prefix first.
    std::map<std::string, std::vector<route>, std::less<>> routes_;
    std::map<std::string, organisation, std::less<>> keys_;
    std::size_t route_count_ = 0;
};

} // namespace buckthornvale::decision::gateway

#endif
