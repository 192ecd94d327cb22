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
    process(std::vector<std::string> arguments, std::string const& log);
    ~process();
    process(process const&) = delete;
    process& operator=(process const&) = delete;

    std::string const& listening() const { return listening_; }

    //! IP:port that follows `word` in the line.
    std::string address_after(std::string const& word) const;

    void signal(int number) const;
    bool running();

    //! Waits for the end. Gives the exit status, or -signal. Throws
    //! std::runtime_error when the process does not end.
    int wait();
    int kill();

private:
    bool reap(int options);
    void read_line();

    pid_t pid_ = -1;
    int output_ = -1;
    int status_ = 0;
    std::string listening_;
};

} // namespace buckthornvale::tests

#endif
