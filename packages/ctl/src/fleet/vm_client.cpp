#include <buckthornvale/ctl/fleet/vm_client.hpp>

#include <httplib.h>

#include <chrono>

namespace buckthornvale::ctl
{

namespace
{

// Short timeouts, so that an unresponsive VM does not delay the results of the
// others.
constexpr auto connect_timeout = std::chrono::seconds(1);
constexpr auto read_timeout = std::chrono::seconds(3);

httplib::Client make_client(std::string const& address, std::string const& key)
{
    httplib::Client client("http://" + address);
    client.set_connection_timeout(connect_timeout);
    client.set_read_timeout(read_timeout);
    if (!key.empty())
        client.set_bearer_token_auth(key);
    return client;
}

} // namespace

std::optional<std::string> http_vm_client::get(std::string const& address,
                                               std::string const& target)
{
    auto const result = make_client(address, operator_key_).Get(target);
    if (!result || result->status != 200)
        return std::nullopt;
    return result->body;
}

bool http_vm_client::post(std::string const& address, std::string const& target)
{
    auto const result = make_client(address, operator_key_).Post(target);
    return result && result->status >= 200 && result->status < 300;
}

} // namespace buckthornvale::ctl
