#include "peer_link_impl.hpp"
#include <buckthornvale/peer/link/peer_link.hpp>

#include <utility>

namespace buckthornvale::peer
{

peer_link::peer_link(link_settings settings, link_handlers handlers)
    : impl_(std::make_unique<impl>(std::move(settings), std::move(handlers)))
{
}

peer_link::~peer_link()
{
    stop();
}

absl::Status peer_link::start()
{
    return impl_->start();
}

void peer_link::stop()
{
    impl_->stop();
}

std::uint16_t peer_link::port() const
{
    return impl_->port();
}

void peer_link::set_peers(absl::Span<peer_address const> peers)
{
    impl_->set_peers({peers.begin(), peers.end()});
}

absl::Status peer_link::send(decision::vm_id to, message const& value)
{
    return impl_->send(to, value);
}

link_counters peer_link::counters() const
{
    return impl_->counters();
}

} // namespace buckthornvale::peer
