#ifndef BUCKTHORNVALE_TESTS_SYSTEM_SUPPORT_SESSION_TRANSCRIPT_HPP
#define BUCKTHORNVALE_TESTS_SYSTEM_SUPPORT_SESSION_TRANSCRIPT_HPP

#include "support/client.hpp"

#include <map>
#include <string>

namespace buckthornvale::tests
{

//! Text of a session, with ids, times and the choice of runner normalised.
class session_transcript
{
public:
    void add_line(std::string const& line);
    void record(std::string const& call, reply const& response);
    void record(std::string const& call, stream_reply const& response);

    //! Compares with golden/<name>.txt, or writes it when the environment
    //! variable SYSTEM_RENEW_GOLDEN is set.
    void expect_golden(std::string const& name) const;

private:
    json normalise(json value);
    std::string id_placeholder(std::string const& id);

    std::string text_;
    std::map<std::string, std::size_t> ids_;
};

} // namespace buckthornvale::tests

#endif
