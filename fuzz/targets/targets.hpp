#ifndef BUCKTHORNVALE_FUZZ_TARGETS_TARGETS_HPP
#define BUCKTHORNVALE_FUZZ_TARGETS_TARGETS_HPP

#include <absl/types/span.h>

#include <string_view>

namespace buckthornvale::fuzz
{

// Each function feeds one untrusted input to a parser. It returns whether the
// parser accepted the input, and aborts when an accepted value breaks a rule
// that the rest of the system relies on.

//! CBOR message of a peer link.
bool peer_message(std::string_view bytes);

//! Path of a settings object.
bool object_path(std::string_view bytes);

//! Settings object: its path in the first line, then its TOML text.
bool settings_object(std::string_view bytes);

//! TOML text of a daemon's process settings.
bool process_settings(std::string_view bytes);

//! Value of a claim shard object.
bool claim_shard(std::string_view bytes);

//! Response of the object API: one of `get`, `put`, `conflict`, `list`,
//! `watch` and `vms` in the first line, then the body.
bool object_answer(std::string_view bytes);

//! Caller's request: pipeline in the first line, the Authorization header's
//! value in the second, then the body.
bool caller_request(std::string_view bytes);

//! Response of a runner: one of `answer`, `token`, `end`, `refusal`,
//! `outcome`, `load` and `cache` in the first line, then the body.
bool runner_answer(std::string_view bytes);

//! Server-sent events of a runner; accepted when all of them are `token` or
//! `end` events with valid data.
bool event_stream(std::string_view bytes);

//! First HTTP request of a connection.
bool http_request(std::string_view bytes);

//! HTTP request of a caller of the gateway, as it is passed on to a runner.
bool fleet_request(std::string_view bytes);

//! Answer of the users' store: `manifest`, `runners` or `members` in the first
//! line, `list` or `changes` in the second, then the body; accepted when each
//! object is of the kind.
bool store_page(std::string_view bytes);

//! CBOR message between two gateways.
bool gateway_message(std::string_view bytes);

//! A target and the name of its folder in corpus/.
struct target
{
    std::string_view name;
    bool (*run)(std::string_view bytes);
};

absl::Span<target const> all_targets();

} // namespace buckthornvale::fuzz

#endif
