#include "link_counts.hpp"

namespace buckthornvale::peer::detail
{

void link_counts::sent(std::size_t bytes)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    ++counters_.sent;
    counters_.sent_bytes += bytes;
}

void link_counts::received(std::size_t bytes, absl::Status const& decoded)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    ++counters_.received;
    counters_.received_bytes += bytes;
    if (!decoded.ok() && absl::IsUnimplemented(decoded))
        ++counters_.unknown_type;
    else if (!decoded.ok())
        ++counters_.damaged;
}

void link_counts::dropped()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    ++counters_.dropped;
}

void link_counts::connected()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    ++counters_.connects;
}

void link_counts::refused()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    ++counters_.refused;
}

link_counters link_counts::get() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return counters_;
}

} // namespace buckthornvale::peer::detail
