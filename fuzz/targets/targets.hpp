#ifndef BUCKTHORNVALE_FUZZ_TARGETS_TARGETS_HPP
#define BUCKTHORNVALE_FUZZ_TARGETS_TARGETS_HPP

#include <absl/types/span.h>

#include <string_view>

namespace buckthornvale::fuzz
{

// Each function passes one untrusted input to a parser and returns whether the
// parser accepted it. It aborts if an accepted value violates an invariant that
// the rest of the system relies on.

//! CBOR message that a VM receives on a peer link.
bool peer_message(std::string_view bytes);

//! Path of a settings object.
bool object_path(std::string_view bytes);

//! Settings object: its path in the first line, then its TOML text.
bool settings_object(std::string_view bytes);

//! TOML text of a daemon's process settings.
bool process_settings(std::string_view bytes);

//! Stored value of a shard of booking claims.
bool claim_shard(std::string_view bytes);

//! Response of the object API: one of `get`, `put`, `conflict`, `list`,
//! `watch` and `vms` in the first line, then the body.
bool object_answer(std::string_view bytes);

//! Caller's request: the pipeline in the first line, the value of the
//! Authorization header in the second, then the JSON body.
bool caller_request(std::string_view bytes);

//! Response of a runner: one of `answer`, `token`, `end`, `refusal`,
//! `outcome`, `load` and `cache` in the first line, then the body.
bool runner_answer(std::string_view bytes);

//! Server-sent events of a runner. Accepted if there is at least one event and
//! all are `token` or `end` events with valid data.
bool event_stream(std::string_view bytes);

//! First HTTP request of a connection.
bool http_request(std::string_view bytes);

//! HTTP request of a caller to the gateway, which forwards it to a runner.
bool fleet_request(std::string_view bytes);

//! Response of the store that holds the gateway's manifests, runners and
//! members: `manifest`, `runners` or `members` in the first line, `list` or
//! `changes` in the second, then the body. Accepted if every object is deleted
//! or of that kind.
bool store_page(std::string_view bytes);

//! CBOR message that a gateway receives from another gateway.
bool gateway_message(std::string_view bytes);

//! A fuzz target and the name of its directory in corpus/.
struct target
{
    std::string_view name;
    bool (*run)(std::string_view bytes);
};

absl::Span<target const> all_targets();

} // namespace buckthornvale::fuzz

#endif
