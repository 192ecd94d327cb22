#include <buckthornvale/settings/fleet/key_tables.hpp>

namespace buckthornvale::settings
{

namespace
{

using namespace decision;

// Upper bounds that catch mistakes such as a wrong unit. No part of the system
// depends on the exact values.
constexpr double day_ms = 86'400'000.;
constexpr double month_s = 2'678'400.;
constexpr double max_slots = 4096.;
constexpr double max_port = 65'535.;
constexpr double max_requests = 1'000'000.;

} // namespace

key_table<rank_settings> rank_keys()
{
    static key_definition<rank_settings> const keys[] = {
        {"target_ms",
         &rank_settings::target,
         true,
         unit::milliseconds,
         {1., day_ms},
         text_format::any,
         "Latency target of the rank, from acceptance to the last byte."},
        {"worth",
         &rank_settings::worth,
         false,
         unit::none,
         {0., 1e6},
         text_format::any,
         "Worth of one response within the target."},
        {"guaranteed_share",
         &rank_settings::guaranteed_share,
         false,
         unit::fraction,
         {0., 1.},
         text_format::any,
         "Fraction of each pool that the rank is sure of. The three sum to "
         "at most 1; what a rank leaves unused is lent to the others."},
        {"objective",
         &rank_settings::objective,
         false,
         unit::fraction,
         {0., 0.99999},
         text_format::any,
         "Fraction of requests that shall be within the target. The burn "
         "report divides by 1 - objective, so 1 is refused."},
    };
    return keys;
}

key_table<fleet_parameters> fleet_keys()
{
    static key_definition<fleet_parameters> const keys[] = {
        {"burn_windows_s",
         &fleet_parameters::burn_windows,
         false,
         unit::seconds,
         {60., month_s},
         text_format::any,
         "Windows of the burn report, shortest first."},
        {"retry_share",
         &fleet_parameters::retry_share,
         false,
         unit::fraction,
         {0., 1.},
         text_format::any,
         "Retries and hedges allowed per first attempt."},
        {"retry_burst",
         &fleet_parameters::retry_burst,
         false,
         unit::attempts,
         {0., 10'000.},
         text_format::any,
         "Most retries that a VM can save up."},
        {"weight_store_rate",
         &fleet_parameters::weight_store_rate,
         false,
         unit::loads_per_second,
         {0.001, 1000.},
         text_format::any,
         "Model loads per second that the weight store sustains for the "
         "whole fleet."},
        {"runner_queueing_ms",
         &fleet_parameters::runner_queueing,
         false,
         unit::milliseconds,
         {1., day_ms},
         text_format::any,
         "Queueing at the runners that admission allows for before it keeps "
         "requests back."},
        {"remote_domain_cost_ms",
         &fleet_parameters::remote_domain_cost,
         false,
         unit::milliseconds,
         {0., 10'000.},
         text_format::any,
         "Network cost that routing adds to a runner in another failure "
         "domain."},
        {"warm_up_ms",
         &fleet_parameters::warm_up,
         false,
         unit::milliseconds,
         {0., day_ms},
         text_format::any,
         "Time over which a new runner's share of work rises to its full "
         "share."},
        {"breaker_failures",
         &fleet_parameters::breaker_failures,
         false,
         unit::attempts,
         {1., 1000.},
         text_format::any,
         "Failed attempts in a row that open a runner's circuit breaker."},
        {"breaker_open_ms",
         &fleet_parameters::breaker_open,
         false,
         unit::milliseconds,
         {10., day_ms},
         text_format::any,
         "Time that a circuit breaker stays open before a probe."},
        {"breaker_slowness",
         &fleet_parameters::breaker_slowness,
         false,
         unit::none,
         {1.1, 1000.},
         text_format::any,
         "An attempt this many times slower than predicted counts as slow; "
         "slow attempts in a row open the circuit breaker."},
    };
    return keys;
}

key_table<pool_settings> pool_keys()
{
    static key_definition<pool_settings> const keys[] = {
        {"kind",
         &pool_settings::kind,
         true,
         unit::none,
         {},
         text_format::runner_kind,
         "Protocol of the runners: model engine or plain HTTP service."},
        {"checks_fencing",
         &pool_settings::checks_fencing,
         false,
         unit::none,
         {},
         text_format::any,
         "Engines refuse an order with an old fencing number. When false, "
         "the lease holder keeps the longer safety times."},
        {"answers_outcomes",
         &pool_settings::answers_outcomes,
         false,
         unit::none,
         {},
         text_format::any,
         "The service can be asked for an outcome by idempotency key."},
        {"resumes_streams",
         &pool_settings::resumes_streams,
         false,
         unit::none,
         {},
         text_format::any,
         "Engines can resume a broken stream from a token index."},
        {"models",
         &pool_settings::models,
         false,
         unit::none,
         {},
         text_format::name,
         "Models that the engines may load. A stage can name only these; "
         "when empty, any."},
    };
    return keys;
}

key_table<runner_settings> runner_keys()
{
    static key_definition<runner_settings> const keys[] = {
        {"name",
         &runner_settings::name,
         true,
         unit::none,
         {},
         text_format::name,
         "Name, unique in the fleet."},
        {"host",
         &runner_settings::host,
         true,
         unit::none,
         {},
         text_format::ip_address,
         "Address of the runner."},
        {"port",
         &runner_settings::port,
         true,
         unit::none,
         {1., max_port},
         text_format::any,
         "TCP port."},
        {"failure_domain",
         &runner_settings::failure_domain,
         true,
         unit::none,
         {},
         text_format::name,
         "Failure domain that the runner is in."},
        {"slots",
         &runner_settings::slots,
         false,
         unit::requests,
         {0.01, max_slots},
         text_format::any,
         "Requests that the runner serves at once."},
        {"leaving",
         &runner_settings::draining,
         false,
         unit::none,
         {},
         text_format::any,
         "The runner is being withdrawn and gets no new work."},
    };
    return keys;
}

key_table<pipeline_settings> pipeline_keys()
{
    static key_definition<pipeline_settings> const keys[] = {
        {"deadline_ms",
         &pipeline_settings::deadline,
         true,
         unit::milliseconds,
         {1., day_ms},
         text_format::any,
         "Longest deadline that a request may ask for."},
    };
    return keys;
}

key_table<stage_settings> stage_keys()
{
    static key_definition<stage_settings> const keys[] = {
        {"name",
         &stage_settings::name,
         true,
         unit::none,
         {},
         text_format::name,
         "Name, unique in the pipeline."},
        {"pool",
         &stage_settings::pool,
         true,
         unit::none,
         {},
         text_format::name,
         "Pool whose runners run the stage."},
        {"after",
         &stage_settings::after,
         false,
         unit::none,
         {},
         text_format::name,
         "Stages whose outputs are the input; without any, the request's "
         "input is."},
        {"model",
         &stage_settings::model,
         false,
         unit::none,
         {},
         text_format::name,
         "Engines: model to run."},
        {"adapter",
         &stage_settings::adapter,
         false,
         unit::none,
         {},
         text_format::name,
         "Engines: adapter to use."},
        {"repeatable",
         &stage_settings::repeatable,
         false,
         unit::none,
         {},
         text_format::any,
         "The stage may run more than once. When false, requests need an "
         "idempotency key and the stage runs at most once."},
        {"stream",
         &stage_settings::stream,
         false,
         unit::none,
         {},
         text_format::any,
         "The stage generates tokens one by one."},
        {"hedge",
         &stage_settings::hedge,
         false,
         unit::none,
         {},
         text_format::any,
         "A second copy may race a slow first one; needs repeatable."},
        {"expected_ms",
         &stage_settings::expected,
         false,
         unit::milliseconds,
         {0., day_ms},
         text_format::any,
         "Service time that is assumed until it has been measured."},
    };
    return keys;
}

key_table<organisation_settings> organisation_keys()
{
    static key_definition<organisation_settings> const keys[] = {
        {"key_sha256",
         &organisation_settings::key_sha256,
         true,
         unit::none,
         {},
         text_format::sha256,
         "SHA-256 of the organisation's bearer key."},
        {"weight",
         &organisation_settings::weight,
         false,
         unit::none,
         {0.001, 1000.},
         text_format::any,
         "Share against other organisations of the same rank."},
        {"requests_per_second",
         &organisation_settings::requests_per_second,
         false,
         unit::requests_per_second,
         {0., max_requests},
         text_format::any,
         "Limit over the whole fleet; 0 is no limit."},
        {"concurrent",
         &organisation_settings::concurrent,
         false,
         unit::requests,
         {0., max_requests},
         text_format::any,
         "Requests in flight over the whole fleet; 0 is no limit."},
        {"pipelines",
         &organisation_settings::pipelines,
         false,
         unit::none,
         {},
         text_format::name,
         "Pipelines that it may use; when empty, all."},
    };
    return keys;
}

} // namespace buckthornvale::settings
