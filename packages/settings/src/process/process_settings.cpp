#include <buckthornvale/settings/process/process_settings.hpp>
#include <buckthornvale/settings/schema/detail/read.hpp>

#include <array>

namespace buckthornvale::settings
{

namespace
{

using detail::problem_collector;

// Upper bounds that catch mistakes such as a wrong unit.
constexpr double max_port = 65'535.;
constexpr double max_concurrent_calls = 4096.;
constexpr double hour_ms = 3'600'000.;
constexpr double max_body_bytes = 64. * 1024. * 1024.;

constexpr std::array<std::string_view, 6> child_table_names = {
    "http", "peer", "platform", "log", "shutdown", "limits"};

template <class Object>
void read_child(problem_collector& collector, toml::table const& table,
                std::string_view name, key_table<Object> keys, Object& out)
{
    static toml::table const empty;
    auto const* child = detail::child_table(collector, table, name);
    // An absent table is read as an empty one, so that its missing required
    // keys are reported.
    if (child || !table.contains(name))
    {
        detail::read_keys(collector, child ? *child : empty,
                          std::string(name) + ".", keys, {}, out);
    }
}

} // namespace

key_table<process_settings> process_keys()
{
    static key_definition<process_settings> const keys[] = {
        {"vm",
         &process_settings::vm,
         true,
         unit::none,
         {},
         text_format::name,
         "Name of this VM, unique in the fleet."},
        {"failure_domain",
         &process_settings::failure_domain,
         true,
         unit::none,
         {},
         text_format::name,
         "Failure domain that this VM is in."},
        {"region",
         &process_settings::region,
         true,
         unit::none,
         {},
         text_format::name,
         "Region that this VM is in."},
    };
    return keys;
}

key_table<http_settings> http_keys()
{
    static key_definition<http_settings> const keys[] = {
        {"address",
         &http_settings::address,
         false,
         unit::none,
         {},
         text_format::ip_address,
         "Address that callers connect to."},
        {"port",
         &http_settings::port,
         false,
         unit::none,
         {0., max_port},
         text_format::any,
         "TCP port; 0 lets the system choose."},
        {"max_callers",
         &http_settings::max_callers,
         false,
         unit::none,
         {1., max_concurrent_calls},
         text_format::any,
         "Callers whose requests are handled at once; more are refused."},
        {"operator_key_sha256",
         &http_settings::operator_key_sha256,
         false,
         unit::none,
         {},
         text_format::sha256,
         "SHA-256 of the operator's bearer key for /v1/status and /v1/drain. "
         "Without it they answer loopback callers only."},
    };
    return keys;
}

key_table<peer_settings> peer_keys()
{
    static key_definition<peer_settings> const keys[] = {
        {"address",
         &peer_settings::address,
         false,
         unit::none,
         {},
         text_format::ip_address,
         "Address that peers connect to."},
        {"port",
         &peer_settings::port,
         false,
         unit::none,
         {0., max_port},
         text_format::any,
         "TCP port; 0 lets the system choose."},
    };
    return keys;
}

key_table<platform_settings> platform_keys()
{
    static key_definition<platform_settings> const keys[] = {
        {"address",
         &platform_settings::address,
         true,
         unit::none,
         {},
         text_format::ip_port,
         "Address of the platform's object API."},
    };
    return keys;
}

key_table<log_settings> log_keys()
{
    static key_definition<log_settings> const keys[] = {
        {"level",
         &log_settings::level,
         false,
         unit::none,
         {},
         text_format::log_level,
         "Least severe level that is logged."},
    };
    return keys;
}

key_table<shutdown_settings> shutdown_keys()
{
    static key_definition<shutdown_settings> const keys[] = {
        {"notice_ms",
         &shutdown_settings::notice,
         false,
         unit::milliseconds,
         {0., hour_ms},
         text_format::any,
         "Time during which a draining process is not ready but still takes "
         "requests, so that the balancer can notice."},
    };
    return keys;
}

key_table<limit_settings> limit_keys()
{
    static key_definition<limit_settings> const keys[] = {
        {"body_bytes",
         &limit_settings::body_bytes,
         false,
         unit::bytes,
         {1024., max_body_bytes},
         text_format::any,
         "Largest request body."},
        {"header_bytes",
         &limit_settings::header_bytes,
         false,
         unit::bytes,
         {1024., 1048576.},
         text_format::any,
         "Largest request head."},
        {"upstream_calls",
         &limit_settings::upstream_calls,
         false,
         unit::requests,
         {1., max_concurrent_calls},
         text_format::any,
         "Calls to runners at once."},
        {"idle_ms",
         &limit_settings::idle,
         false,
         unit::milliseconds,
         {100., hour_ms},
         text_format::any,
         "An idle connection is closed after this time."},
        {"request_read_ms",
         &limit_settings::request_read,
         false,
         unit::milliseconds,
         {100., hour_ms},
         text_format::any,
         "A caller that sends its request more slowly is disconnected."},
    };
    return keys;
}

process_result parse_process(std::string_view file, std::string_view toml_text)
{
    problem_collector collector{std::string(file)};
    auto const table = detail::parse_toml(collector, toml_text);
    if (!table)
        return {std::nullopt, collector.take_problems()};
    process_settings value;
    detail::read_keys(collector, *table, "", process_keys(), child_table_names,
                      value);
    read_child(collector, *table, "http", http_keys(), value.http);
    read_child(collector, *table, "peer", peer_keys(), value.peer);
    read_child(collector, *table, "platform", platform_keys(), value.platform);
    read_child(collector, *table, "log", log_keys(), value.log);
    read_child(collector, *table, "shutdown", shutdown_keys(), value.shutdown);
    read_child(collector, *table, "limits", limit_keys(), value.limits);
    if (!collector.problems().empty())
        return {std::nullopt, collector.take_problems()};
    return {std::move(value), {}};
}

} // namespace buckthornvale::settings
