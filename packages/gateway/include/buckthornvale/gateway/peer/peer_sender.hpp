#ifndef BUCKTHORNVALE_GATEWAY_PEER_PEER_SENDER_HPP
#define BUCKTHORNVALE_GATEWAY_PEER_PEER_SENDER_HPP

#include <buckthornvale/gateway/gateway_request.hpp>
#include <buckthornvale/gateway/peer/peer_codec.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace buckthornvale::gateway::peer
{

//! Path at which a VM receives messages.
constexpr std::string_view messages_path = "/peer/messages";

//! Path at which a VM serves its manifest if the version is newer than N of
//! "?after=N".
constexpr std::string_view manifest_path = "/peer/manifest";

//! Sends messages to other VMs with at most one call in progress per VM.
//! Messages that arrive meanwhile are batched into the next call.
class peer_sender
{
public:
    struct callback_set
    {
        std::function<void(std::string const& member,
                           std::uint64_t incarnation)>
            answered;
        std::function<void(std::string const& member,
                           std::vector<peer_message> undelivered)>
            unreachable;
    };

    peer_sender(net::http_client& client, std::string self,
                std::uint64_t incarnation, net::transfer_pace pace,
                callback_set callbacks);
    ~peer_sender();

    void send(std::string const& member, std::string const& address,
              peer_message message);

private:
    class link;

    net::http_client& client_;
    std::string const self_;
    std::uint64_t const incarnation_;
    net::transfer_pace const pace_;
    callback_set callbacks_;
    std::map<std::string, std::unique_ptr<link>> links_;
};

} // namespace buckthornvale::gateway::peer

#endif
