#ifndef BUCKTHORNVALE_TESTS_SYSTEM_SUPPORT_CLIENT_HPP
#define BUCKTHORNVALE_TESTS_SYSTEM_SUPPORT_CLIENT_HPP

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace buckthornvale::tests
{

using nlohmann::json;

//! Reply to one call; `status` is 0 if the connection failed or was closed
//! before the response was complete.
struct reply
{
    int status = 0;
    bool connect_failed = false; //!< nothing was sent
    json body;

    std::string outcome() const { return text("outcome"); }
    std::string request_id() const { return text("request_id"); }
    std::string error_kind() const;

private:
    std::string text(char const* member) const;
};

//! Reply to a streaming request, with its events in the order received.
struct stream_reply
{
    int status = 0;
    bool connect_failed = false;
    std::vector<std::pair<std::string, json>> events;

    std::string text() const;
    json end_event() const; //!< data of the final `end` event, or null
};

//! Each call opens its own connection. `address` is IP:port.
reply get(std::string const& address, std::string const& path);
reply post(std::string const& address, std::string const& path,
           json const& body);

//! Conditional write through the object API; the status is 412 if the stored
//! version is not `version`.
reply put_object(std::string const& platform, std::string const& path,
                 std::uint64_t version, std::string const& value);

reply send_request(std::string const& vm, std::string const& pipeline,
                   json const& body);

//! Reads the whole stream, or closes the connection once `should_stop` returns
//! true for the name of an event.
stream_reply send_streaming_request(
    std::string const& vm, std::string const& pipeline, json body,
    std::function<bool(std::string const&)> const& should_stop = nullptr);

//! GET /v1/outcomes/<key>.
reply get_outcome(std::string const& vm, std::string const& key,
                  std::int64_t issued_at_ms);

} // namespace buckthornvale::tests

#endif
