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

//! Routes, services and organisations as configured by the operator.
namespace buckthornvale::decision::gateway
{

//! Whether requests of a route may be repeated.
enum class request_kind
{
    idempotent, //!< safe to execute any number of times
    at_most_once,
    stream //!< server-sent events; at most once unless resumable
};

//! Preprocessing of a request: a service works on its pieces before the request
//! itself can run.
struct route_stage
{
    std::string service;
    //! Indices of the stages whose results it reads.
    std::vector<std::uint32_t> after;
    double result_bytes = 0; //!< approximate size of one result
};

//! Why the requests of a route cannot be run as the operator wrote it.
enum class route_defect
{
    none,
    unreadable_place,    //!< no host or no path prefix
    unreadable_services, //!< where its requests go
    unreadable_stages,
    unknown_stage,  //!< one reads the results of a stage that is not there
    cycle_of_stages //!< some wait for each other
};

//! Stable name in logs.
char const* name_of(route_defect defect);

struct weighted_service
{
    std::string service;
    double weight = 1;
};

struct route
{
    std::string name;
    std::string host;
    std::string path_prefix; //!< starts and ends with a slash
    request_kind kind = request_kind::at_most_once;
    duration timeout{};
    duration target_latency{};
    int rank = 0; //!< 0 is the most urgent
    std::vector<weighted_service> services;
    //! Maximum number of runners that may execute one request.
    std::uint32_t max_attempts = 1;
    std::vector<route_stage> stages;
    bool allow_anonymous = false;
    bool sticky = false;      //!< requests of a session share cached prompts
    bool resumable = false;   //!< a stream may be resumed on another runner
    duration max_event_gap{}; //!< maximum pause between two events of a stream
    //! Requests of a route with a defect are refused: one that ran without what
    //! could not be read would be less than was asked for.
    route_defect defect = route_defect::none;

    bool repeatable() const
    {
        return kind == request_kind::idempotent ||
               (kind == request_kind::stream && resumable);
    }
};

//! Capacity and timing of one runner of a stage service.
struct piece_limits
{
    std::uint32_t slots = 1;        //!< concurrent calls
    std::uint32_t queue = 0;        //!< calls that the runner queues
    std::uint32_t batch = 1;        //!< maximum number of pieces in a call
    duration call_time{};           //!< fixed cost of a call
    duration piece_time{};          //!< additional cost of each piece
    double result_memory_bytes = 0; //!< bytes of memory for results
    duration result_lifetime{};
};

//! Capacity of one model runner.
struct engine_limits
{
    std::uint32_t slots = 1;
    double cache_tokens = 0;
};

struct service
{
    std::string name;
    std::string health_path;
    //! Connections to one runner from all VMs together.
    std::uint32_t connection_limit = 0;
    //! Requests per second that a cold runner takes from all VMs together; 0:
    //! any number.
    double cold_requests_per_s = 0;
    std::optional<engine_limits> engine;
    std::optional<piece_limits> pieces;
};

//! Limits on the size and duration of incoming requests.
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
    std::optional<int> rank; //!< overrides the rank of the route
};

//! One version of the manifest, indexed for lookups. Routes and keys are only
//! added while it is built.
class manifest
{
public:
    std::uint64_t version = 0;
    caller_limits limits;
    std::map<std::string, service, std::less<>> services;
    //! False if requests need no API key.
    bool has_organisations = false;

    //! Checks the stages. A route without a place is found by no request.
    void add_route(route value);
    void add_key(std::string key, organisation owner);

    //! Returns the route of the host with the longest matching path prefix.
    route const* find_route(std::string_view host, std::string_view path) const;

    //! Returns the organisation that owns the API key.
    organisation const* find_organisation(std::string_view key) const;

    service const* find_service(std::string_view name) const;

    std::size_t route_count() const { return route_count_; }

    struct defective_route
    {
        std::string name;
        route_defect defect = route_defect::none;
    };

    std::vector<defective_route> const& defective_routes() const
    {
        return defective_routes_;
    }

private:
    //! Routes by host, longest prefix first.
    std::map<std::string, std::vector<route>, std::less<>> routes_;
    std::map<std::string, organisation, std::less<>> keys_;
    std::size_t route_count_ = 0;
    std::vector<defective_route> defective_routes_;
};

} // namespace buckthornvale::decision::gateway

#endif
