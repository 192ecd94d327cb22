#ifndef BUCKTHORNVALE_TESTS_SYSTEM_SUPPORT_PROCESS_HPP
#define BUCKTHORNVALE_TESTS_SYSTEM_SUPPORT_PROCESS_HPP

#include <string>
#include <sys/types.h>
#include <vector>

namespace buckthornvale::tests
{

//! A child process. The destructor kills and reaps it.
class process
{
public:
    //! Starts a program and waits until it prints a line that begins with
    //! "listening". Standard error is appended to the file `log_path`. Throws
    //! std::runtime_error if the program exits first or does not print the
    //! line within `hang_timeout`.
    process(std::vector<std::string> arguments, std::string const& log_path);
    ~process();
    process(process const&) = delete;
    process& operator=(process const&) = delete;

    std::string const& listening_line() const { return listening_line_; }

    //! Returns the IP:port after `label` in the line.
    std::string address_after(std::string const& label) const;

    void signal(int number) const;
    bool running();

    //! Waits for the process to exit. Returns its exit status, or the
    //! negated signal number. Throws std::runtime_error if it does not exit
    //! within `hang_timeout`.
    int wait();
    int kill();

private:
    bool reap(int options);
    void read_listening_line();

    pid_t pid_ = -1;
    int output_fd_ = -1;
    int status_ = 0;
    std::string listening_line_;
};

} // namespace buckthornvale::tests

#endif
