#ifndef BUCKTHORNVALE_SETTINGS_PROCESS_PROCESS_SETTINGS_HPP
#define BUCKTHORNVALE_SETTINGS_PROCESS_PROCESS_SETTINGS_HPP

#include <buckthornvale/settings/schema/key.hpp>
#include <buckthornvale/settings/schema/problem.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace buckthornvale::settings
{

//! HTTP server of one daemon.
struct http_settings
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; //!< 0: chosen by the operating system
    std::uint32_t max_callers = 128;
    std::string operator_key_sha256; //!< 64 hex digits; empty: no operator key
};

//! Address at which one daemon accepts connections from its peers.
struct peer_settings
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; //!< 0: chosen by the operating system
};

//! Address of the platform's object API.
struct platform_settings
{
    std::string address; //!< IP address and port
};

//! Logging of one daemon.
struct log_settings
{
    std::string level = "info";
};

//! Graceful shutdown of one daemon.
struct shutdown_settings
{
    //! Time during which the daemon reports that it is not ready but still
    //! accepts requests, so that the load balancer can stop sending them.
    decision::duration notice = std::chrono::seconds(30);
};

//! Resource limits of one daemon.
struct limit_settings
{
    std::uint32_t body_bytes = 1U << 20U;
    std::uint32_t header_bytes = 16U << 10U;
    std::uint32_t upstream_calls = 128;
    decision::duration idle = std::chrono::seconds(30);
    decision::duration request_read = std::chrono::seconds(5);
};

//! Settings of one daemon process, read from its own file.
struct process_settings
{
    std::string vm;
    std::string failure_domain;
    std::string region;
    http_settings http;
    peer_settings peer;
    platform_settings platform;
    log_settings log;
    shutdown_settings shutdown;
    limit_settings limits;
};

//! Holds either the settings or the problems for which the file is rejected.
struct process_result
{
    std::optional<process_settings> settings;
    problem_list problems;
};

//! Parses and validates a process settings file. `file` is its name in
//! messages.
process_result parse_process(std::string_view file, std::string_view toml_text);

// Tables that validate and document the process settings.

key_table<process_settings> process_keys();
key_table<http_settings> http_keys();
key_table<peer_settings> peer_keys();
key_table<platform_settings> platform_keys();
key_table<log_settings> log_keys();
key_table<shutdown_settings> shutdown_keys();
key_table<limit_settings> limit_keys();

} // namespace buckthornvale::settings

#endif
