#ifndef BUCKTHORNVALE_PEER_SRC_LINK_DIAL_BACKOFF_HPP
#define BUCKTHORNVALE_PEER_SRC_LINK_DIAL_BACKOFF_HPP

#include <buckthornvale/peer/link/peer_link.hpp>

#include <pcg_random.hpp>

#include <chrono>

namespace buckthornvale::peer::detail
{

//! Time to wait before a peer is dialled again: it doubles with each failure
//! and has a jitter.
class dial_backoff
{
public:
    explicit dial_backoff(link_settings const& settings);

    //! `failures` are the failed attempts in a row before the last one.
    std::chrono::milliseconds wait_after(int failures);

private:
    std::chrono::milliseconds first_;
    std::chrono::milliseconds last_;
    pcg32 random_;
};

} // namespace buckthornvale::peer::detail

#endif
