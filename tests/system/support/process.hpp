#ifndef BUCKTHORNVALE_TESTS_SYSTEM_SUPPORT_PROCESS_HPP
#define BUCKTHORNVALE_TESTS_SYSTEM_SUPPORT_PROCESS_HPP

#include <string>
#include <sys/types.h>
#include <vector>

namespace buckthornvale::tests
{

//! A child process that is killed and reaped when the object ends.
class process
{
public:
    //! Starts a program and waits for its line that begins with "listening".
    //! Its standard error goes to `log`. Throws std::runtime_error when the
    //! program ends first or the line does not come.
    process(std::vector<std::string> arguments, std::string const& log_path);
    ~process();
    process(process const&) = delete;
    process& operator=(process const&) = delete;

    std::string const& listening_line() const { return listening_line_; }

    //! IP:port that follows `word` in the line.
    std::string address_after(std::string const& label) const;

    void signal(int number) const;
    bool running();

    //! Waits for the end. Gives the exit status, or -signal. Throws
    //! std::runtime_error when the process does not end.
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
