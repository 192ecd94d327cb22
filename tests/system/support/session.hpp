#ifndef BUCKTHORNVALE_TESTS_SYSTEM_SUPPORT_SESSION_HPP
#define BUCKTHORNVALE_TESTS_SYSTEM_SUPPORT_SESSION_HPP

#include "support/client.hpp"

#include <map>
#include <string>

namespace buckthornvale::tests
{

//! Text of a session, with ids, times and the choice of runner normalised.
class session
{
public:
    void note(std::string const& line);
    void record(std::string const& what, reply const& told);
    void record(std::string const& what, stream_reply const& told);

    //! Compares with golden/<name>.txt, or writes it when the environment
    //! variable SYSTEM_RENEW_GOLDEN is set.
    void expect_golden(std::string const& name) const;

private:
    json normalise(json value);
    std::string number(std::string const& id);

    std::string text_;
    std::map<std::string, std::size_t> ids_;
};

} // namespace buckthornvale::tests

#endif
