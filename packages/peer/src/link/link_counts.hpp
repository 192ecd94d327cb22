#ifndef BUCKTHORNVALE_PEER_SRC_LINK_LINK_COUNTS_HPP
#define BUCKTHORNVALE_PEER_SRC_LINK_LINK_COUNTS_HPP

#include <buckthornvale/peer/link/peer_link.hpp>

#include <absl/status/status.h>

#include <cstddef>
#include <mutex>

namespace buckthornvale::peer::detail
{

//! Counters that the links' thread changes and other threads read.
class link_counts
{
public:
    void sent(std::size_t bytes);
    //! `decoded` is the result of decoding the message.
    void received(std::size_t bytes, absl::Status const& decoded);
    void dropped();
    void connected();
    void refused();

    link_counters get() const;

private:
    mutable std::mutex mutex_;
    link_counters counters_;
};

} // namespace buckthornvale::peer::detail

#endif
