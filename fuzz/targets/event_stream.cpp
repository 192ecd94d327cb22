#include <buckthornvale/serving/upstream/event_parser.hpp>
#include <buckthornvale/serving/upstream/runner_codec.hpp>

#include <algorithm>
#include <string>
#include <targets/input.hpp>
#include <targets/targets.hpp>
#include <vector>

namespace buckthornvale::fuzz
{

namespace
{

namespace upstream = serving::upstream;

constexpr std::size_t max_event_bytes = 4096;

struct parse_result
{
    std::vector<std::string> event_texts; //!< name, newline, data
    bool all_valid = true;
    bool parser_ok = true; //!< the parser accepted all bytes
};

bool is_valid(std::string_view name, std::string_view data)
{
    if (name == "token")
        return upstream::parse_token(data).has_value();
    return name == "end" && upstream::parse_stream_end(data).has_value();
}

parse_result parse(std::string_view bytes, std::size_t chunk_bytes)
{
    parse_result result;
    upstream::event_parser parser(
        max_event_bytes,
        [&](std::string_view name, std::string_view data)
        {
            require(name.size() + data.size() <= max_event_bytes,
                    "an event is at most max_event_bytes long");
            result.event_texts.push_back(std::string(name) + "\n" +
                                         std::string(data));
            result.all_valid = result.all_valid && is_valid(name, data);
            return true;
        });
    for (; result.parser_ok && !bytes.empty();
         bytes.remove_prefix(std::min(chunk_bytes, bytes.size())))
        result.parser_ok = parser.feed(bytes.substr(0, chunk_bytes));
    return result;
}

} // namespace

bool event_stream(std::string_view bytes)
{
    auto const unsplit = parse(bytes, bytes.size());
    auto const split = parse(bytes, 3);
    require(unsplit.event_texts == split.event_texts &&
                unsplit.parser_ok == split.parser_ok,
            "parsed events do not depend on how the bytes are split");
    return unsplit.parser_ok && unsplit.all_valid &&
           !unsplit.event_texts.empty();
}

} // namespace buckthornvale::fuzz
