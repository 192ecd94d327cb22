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

//! What one call gave; status 0 when the connection failed or was cut.
struct reply
{
    int status = 0;
    bool connect_failed = false; //!< no connection, so that nothing was sent
    json body;

    std::string outcome() const { return text("outcome"); }
    std::string request_id() const { return text("request_id"); }
    std::string error_kind() const;

private:
    std::string text(char const* member) const;
};

//! A reply with the events of its stream in order.
struct stream_reply
{
    int status = 0;
    bool connect_failed = false;
    std::vector<std::pair<std::string, json>> events;

    std::string text() const;
    json end_event() const; //!< data of the event `end`, or null
};

//! Calls with a connection of its own each. `address` is IP:port.
reply get(std::string const& address, std::string const& path);
reply post(std::string const& address, std::string const& path,
           json const& body);

//! A conditional write of the object API; 412 when the version has changed.
reply put_object(std::string const& platform, std::string const& path,
                 std::uint64_t version, std::string const& value);

reply send_request(std::string const& vm, std::string const& pipeline,
                   json const& body);

//! Reads the whole stream, or until `stop` gives true after an event.
stream_reply send_streaming_request(
    std::string const& vm, std::string const& pipeline, json body,
    std::function<bool(std::string const&)> const& should_stop = nullptr);

//! GET /v1/outcomes/<key>.
reply get_outcome(std::string const& vm, std::string const& key,
                  std::int64_t issued_at_ms);

} // namespace buckthornvale::tests

#endif
