#include <targets/targets.hpp>

namespace buckthornvale::fuzz
{

absl::Span<target const> all_targets()
{
    static constexpr target targets[] = {
        {"peer_message", peer_message},
        {"object_path", object_path},
        {"settings_object", settings_object},
        {"process_settings", process_settings},
        {"claim_shard", claim_shard},
        {"object_answer", object_answer},
        {"caller_request", caller_request},
        {"runner_answer", runner_answer},
        {"event_stream", event_stream},
        {"http_request", http_request},
        {"fleet_request", fleet_request},
        {"store_page", store_page},
        {"gateway_message", gateway_message},
    };
    return targets;
}

} // namespace buckthornvale::fuzz
