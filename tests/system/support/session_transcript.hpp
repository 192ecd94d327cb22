#ifndef BUCKTHORNVALE_TESTS_SYSTEM_SUPPORT_SESSION_TRANSCRIPT_HPP
#define BUCKTHORNVALE_TESTS_SYSTEM_SUPPORT_SESSION_TRANSCRIPT_HPP

#include "support/client.hpp"

#include <map>
#include <string>

namespace buckthornvale::tests
{

//! Text of the calls and replies of a test. Ids, times, addresses and runner
//! numbers are replaced by placeholders, because they differ between runs.
class session_transcript
{
public:
    void add_line(std::string const& line);
    void record(std::string const& call, reply const& response);
    void record(std::string const& call, stream_reply const& response);

    //! Compares the text with golden/<name>.txt. If the environment variable
    //! SYSTEM_RENEW_GOLDEN is set, overwrites the file first.
    void expect_golden(std::string const& name) const;

private:
    json normalise(json value);
    std::string id_placeholder(std::string const& id);

    std::string text_;
    std::map<std::string, std::size_t> ids_;
};

} // namespace buckthornvale::tests

#endif
