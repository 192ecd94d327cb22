#include <buckthornvale/gateway/peer/peer_sender.hpp>

#include <algorithm>

namespace buckthornvale::gateway::peer
{

namespace
{

using namespace std::chrono_literals;

//! A VM that does not begin to respond within this time, after it has received
//! the messages, counts as unreachable.
constexpr net::duration response_timeout = 500ms;
constexpr net::duration connect_timeout = 300ms;

//! Beyond this number of queued messages, the VM counts as unreachable and all
//! messages to it as undelivered.
constexpr std::size_t max_queued_messages = 4096;

} // namespace

//! Queue of messages to one VM.
class peer_sender::link
{
public:
    link(peer_sender& owner, std::string member)
        : owner_(owner), member_(std::move(member))
    {
    }

    void enqueue(std::string const& address, peer_message message)
    {
        address_ = address;
        queued_.push_back(std::move(message));
        if (queued_.size() > max_queued_messages)
            fail_all();
        else if (!call_in_progress_)
            send_queued();
    }

private:
    void send_queued()
    {
        call_in_progress_ = true;
        in_flight_ = std::exchange(queued_, {});
        envelope value;
        value.member = owner_.self_;
        value.incarnation = owner_.incarnation_;
        value.messages = in_flight_;
        net::call_options options;
        options.connect_timeout = connect_timeout;
        options.timeout = response_timeout;
        options.pace = owner_.pace_;
        make_call(
            owner_.client_, address_,
            {"POST", std::string(messages_path), encode_envelope(value), {}},
            options,
            [this](net::call_result const& result)
            { handle_response(result); });
    }

    void handle_response(net::call_result const& result)
    {
        call_in_progress_ = false;
        if (result.failure && can_retry(*result.failure))
        {
            retry();
            return;
        }
        bool const answered =
            !result.failure && result.head.status == http::status_ok;
        auto const response =
            answered ? decode_envelope(result.body) : std::optional<envelope>();
        if (!response || response->member != member_)
        {
            fail_all();
            return;
        }
        in_flight_.clear();
        retried_ = false;
        owner_.callbacks_.answered(member_, response->incarnation);
        if (!queued_.empty() && !call_in_progress_)
            send_queued();
    }

    //! The peer may have closed a kept-alive connection between two calls.
    //! Messages are idempotent, so one retry on a new connection is safe.
    bool can_retry(net::call_failure failure) const
    {
        return failure != net::call_failure::timed_out && !retried_;
    }

    void retry()
    {
        retried_ = true;
        owner_.client_.forget(address_);
        std::move(queued_.begin(), queued_.end(),
                  std::back_inserter(in_flight_));
        queued_ = std::exchange(in_flight_, {});
        send_queued();
    }

    void fail_all()
    {
        retried_ = false;
        owner_.client_.forget(address_);
        auto undelivered = std::exchange(in_flight_, {});
        std::move(queued_.begin(), queued_.end(),
                  std::back_inserter(undelivered));
        queued_.clear();
        owner_.callbacks_.unreachable(member_, std::move(undelivered));
    }

    peer_sender& owner_;
    std::string const member_;
    std::string address_;
    std::vector<peer_message> queued_;
    std::vector<peer_message> in_flight_;
    bool call_in_progress_ = false;
    bool retried_ = false;
};

peer_sender::peer_sender(net::http_client& client, std::string self,
                         std::uint64_t incarnation, net::transfer_pace pace,
                         callback_set callbacks)
    : client_(client), self_(std::move(self)), incarnation_(incarnation),
      pace_(pace), callbacks_(std::move(callbacks))
{
}

peer_sender::~peer_sender() = default;

void peer_sender::send(std::string const& member, std::string const& address,
                       peer_message message)
{
    auto& it = links_[member];
    if (it == nullptr)
        it = std::make_unique<link>(*this, member);
    it->enqueue(address, std::move(message));
}

} // namespace buckthornvale::gateway::peer
