#include <buckthornvale/gateway/peer/peer_sender.hpp>

#include <algorithm>

namespace buckthornvale::gateway::peer
{

namespace
{

using namespace std::chrono_literals;

//! A VM that does not answer within this time counts as unreachable.
constexpr net::duration answer_timeout = 500ms;
constexpr net::duration connect_timeout = 300ms;

//! Messages that wait for one VM; older ones are given up.
constexpr std::size_t max_waiting = 4096;

} // namespace

//! The messages to one VM.
class peer_sender::link
{
public:
    link(peer_sender& owner, std::string member)
        : owner_(owner), member_(std::move(member))
    {
    }

    void add(std::string const& address, peer_message message)
    {
        address_ = address;
        waiting_.push_back(std::move(message));
        if (waiting_.size() > max_waiting)
            give_up();
        else if (!calling_)
            send_waiting();
    }

private:
    void send_waiting()
    {
        calling_ = true;
        in_flight_ = std::exchange(waiting_, {});
        envelope value;
        value.member = owner_.self_;
        value.incarnation = owner_.incarnation_;
        value.messages = in_flight_;
        net::call_options options;
        options.connect_timeout = connect_timeout;
        options.timeout = answer_timeout;
        make_call(
            owner_.client_, address_,
            {"POST", std::string(messages_path), encode_envelope(value), {}},
            options,
            [this](net::call_result const& result) { take_answer(result); });
    }

    void take_answer(net::call_result const& result)
    {
        calling_ = false;
        if (result.failure && may_repeat(*result.failure))
        {
            repeat();
            return;
        }
        bool const answered =
            !result.failure && result.head.status == http::status_ok;
        auto const answer =
            answered ? decode_envelope(result.body) : std::optional<envelope>();
        if (!answer || answer->member != member_)
        {
            give_up();
            return;
        }
        in_flight_.clear();
        repeated_ = false;
        owner_.callbacks_.answered(member_, answer->incarnation);
        if (!waiting_.empty() && !calling_)
            send_waiting();
    }

    //! A kept connection may have ended between two calls. Messages are
    //! idempotent, so that one repeat on a new connection does no harm.
    bool may_repeat(net::call_failure failure) const
    {
        return failure != net::call_failure::timed_out && !repeated_;
    }

    void repeat()
    {
        repeated_ = true;
        owner_.client_.forget(address_);
        std::move(waiting_.begin(), waiting_.end(),
                  std::back_inserter(in_flight_));
        waiting_ = std::exchange(in_flight_, {});
        send_waiting();
    }

    void give_up()
    {
        repeated_ = false;
        owner_.client_.forget(address_);
        auto lost = std::exchange(in_flight_, {});
        std::move(waiting_.begin(), waiting_.end(), std::back_inserter(lost));
        waiting_.clear();
        owner_.callbacks_.unreachable(member_, std::move(lost));
    }

    peer_sender& owner_;
    std::string const member_;
    std::string address_;
    std::vector<peer_message> waiting_;
    std::vector<peer_message> in_flight_;
    bool calling_ = false;
    bool repeated_ = false;
};

peer_sender::peer_sender(net::http_client& client, std::string self,
                         std::uint64_t incarnation, callback_set callbacks)
    : client_(client), self_(std::move(self)), incarnation_(incarnation),
      callbacks_(std::move(callbacks))
{
}

peer_sender::~peer_sender() = default;

void peer_sender::send(std::string const& member, std::string const& address,
                       peer_message message)
{
    auto& it = links_[member];
    if (it == nullptr)
        it = std::make_unique<link>(*this, member);
    it->add(address, std::move(message));
}

} // namespace buckthornvale::gateway::peer
