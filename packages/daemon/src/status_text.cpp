#include <buckthornvale/daemon/status_text.hpp>

#include <nlohmann/json.hpp>

namespace buckthornvale::daemon
{

namespace
{

using nlohmann::json;

json members_of(decision::reducer_status const& status)
{
    json members = json::array();
    for (auto const& it : status.members)
    {
        bool const entry =
            it.listed.role == decision::fleet::member_role::entry;
        members.push_back({{"id", it.listed.name},
                           {"role", entry ? "entry" : "runner"},
                           {"state", decision::fleet::name_of(it.state)}});
    }
    return members;
}

} // namespace

status_texts make_status(std::string const& vm, std::uint64_t incarnation,
                         decision::reducer_status const& status,
                         peer::link_counters const& links)
{
    json body = {
        {"vm", vm},
        {"incarnation", incarnation},
        {"settings_revision", status.settings_revision},
        {"ready", status.ready},
        {"draining", status.draining},
        {"in_flight", status.requests_in_flight},
        {"queued", status.queued},
        {"peer_link",
         {{"sent", links.sent},
          {"sent_bytes", links.sent_bytes},
          {"received", links.received},
          {"received_bytes", links.received_bytes},
          {"dropped", links.dropped}}},
    };
    status_texts texts;
    texts.stored = body.dump();
    body["members"] = members_of(status);
    texts.page = body.dump();
    return texts;
}

} // namespace buckthornvale::daemon
