#include "common/wake_event.hpp"

#include <cerrno>
#include <sys/eventfd.h>
#include <system_error>
#include <unistd.h>

namespace buckthornvale::standins
{

wake_event::wake_event() : descriptor_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (descriptor_ < 0)
        throw std::system_error(errno, std::generic_category(), "eventfd");
}

wake_event::~wake_event()
{
    ::close(descriptor_);
}

void wake_event::signal()
{
    eventfd_write(descriptor_, 1);
}

void wake_event::clear()
{
    eventfd_t count = 0;
    eventfd_read(descriptor_, &count);
}

} // namespace buckthornvale::standins
