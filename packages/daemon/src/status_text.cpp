#include <buckthornvale/daemon/status_text.hpp>

#include <nlohmann/json.hpp>

namespace buckthornvale::daemon
{

std::string status_text(std::string const& vm, std::uint64_t incarnation,
                        decision::reducer_status const& status,
                        peer::link_counters const& links)
{
    using nlohmann::json;
    json members = json::array();
    for (auto const& it : status.members)
    {
        bool const entry =
            it.listed.role == decision::fleet::member_role::entry;
        members.push_back({{"id", it.listed.name},
                           {"role", entry ? "entry" : "runner"},
                           {"state", decision::fleet::name_of(it.state)}});
    }
    json const body = {
        {"vm", vm},
        {"incarnation", incarnation},
        {"settings_revision", status.settings_revision},
        {"ready", status.ready},
        {"draining", status.draining},
        {"in_flight", status.requests_in_flight},
        {"queued", status.queued},
        {"members", std::move(members)},
        {"peer_link",
         {{"sent", links.sent},
          {"sent_bytes", links.sent_bytes},
          {"received", links.received},
          {"received_bytes", links.received_bytes},
          {"dropped", links.dropped}}},
    };
    return body.dump();
}

} // namespace buckthornvale::daemon
