#ifndef BUCKTHORNVALE_STANDINS_COMMON_WAKE_EVENT_HPP
#define BUCKTHORNVALE_STANDINS_COMMON_WAKE_EVENT_HPP

namespace buckthornvale::standins
{

//! A file descriptor that becomes readable when signalled, so that one poll()
//! can wait for a socket and for another thread. Thread-safe.
class wake_event
{
public:
    //! Throws std::system_error when the process has no descriptor left.
    wake_event();
    ~wake_event();
    wake_event(wake_event const&) = delete;
    wake_event& operator=(wake_event const&) = delete;

    void signal();
    void clear();
    int descriptor() const { return descriptor_; }

private:
    int descriptor_;
};

} // namespace buckthornvale::standins

#endif
