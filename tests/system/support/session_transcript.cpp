#include "support/session_transcript.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <regex>
#include <sstream>

namespace buckthornvale::tests
{

std::string session_transcript::id_placeholder(std::string const& id)
{
    return "<id " +
           std::to_string(ids_.emplace(id, ids_.size() + 1).first->second) +
           ">";
}

json session_transcript::normalise(json value)
{
    if (!value.is_structured())
        return value;
    for (auto const& it : value.items())
    {
        auto& member = it.value();
        if (it.key() == "request_id" || it.key() == "attempt_id")
            member = id_placeholder(member.get<std::string>());
        else if (it.key() == "runner")
            member = std::regex_replace(member.get<std::string>(),
                                        std::regex("-[0-9]+$"), "-<n>");
        else if (it.key() == "message")
            member = std::regex_replace(member.get<std::string>(),
                                        std::regex("127\\.0\\.0\\.1:[0-9]+"),
                                        "<address>");
        else if (it.key() == "ms" || it.key() == "retry_after_ms")
            member = "<ms>";
        else if (it.key() == "outcome_url")
            member = std::regex_replace(member.get<std::string>(),
                                        std::regex("[0-9]{10,}"), "<time>");
        else
            member = normalise(member);
    }
    return value;
}

void session_transcript::add_line(std::string const& line)
{
    text_ += line + "\n";
}

void session_transcript::record(std::string const& call, reply const& response)
{
    add_line("> " + call);
    add_line("< " + std::to_string(response.status) + ' ' +
             normalise(response.body).dump(2));
}

void session_transcript::record(std::string const& call,
                                stream_reply const& response)
{
    add_line("> " + call);
    add_line("< " + std::to_string(response.status));
    for (auto const& [name, data] : response.events)
        add_line(name + ' ' + normalise(data).dump(name == "end" ? 2 : -1));
}

void session_transcript::expect_golden(std::string const& name) const
{
    auto const file = std::string(SYSTEM_GOLDEN "/") + name + ".txt";
    if (std::getenv("SYSTEM_RENEW_GOLDEN") != nullptr)
        std::ofstream(file) << text_;
    std::ifstream in(file);
    std::ostringstream expected;
    expected << in.rdbuf();
    // GoogleTest prints the lines that differ.
    EXPECT_EQ(expected.str(), text_)
        << "the session differs from " << name
        << ".txt; if the change is intended, update the file with "
           "SYSTEM_RENEW_GOLDEN=1 and review it";
}

} // namespace buckthornvale::tests
