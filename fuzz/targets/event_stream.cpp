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

struct events
{
    std::vector<std::string> texts; //!< name, line end, data
    bool all_valid = true;
    bool whole = true; //!< the parser did not stop
};

bool is_valid(std::string_view name, std::string_view data)
{
    if (name == "token")
        return upstream::parse_token(data).has_value();
    return name == "end" && upstream::parse_stream_end(data).has_value();
}

events parse(std::string_view bytes, std::size_t piece)
{
    events out;
    upstream::event_parser parser(
        max_event_bytes,
        [&](std::string_view name, std::string_view data)
        {
            require(name.size() + data.size() <= max_event_bytes,
                    "an event is bounded");
            out.texts.push_back(std::string(name) + "\n" + std::string(data));
            out.all_valid = out.all_valid && is_valid(name, data);
            return true;
        });
    for (; out.whole && !bytes.empty();
         bytes.remove_prefix(std::min(piece, bytes.size())))
        out.whole = parser.feed(bytes.substr(0, piece));
    return out;
}

} // namespace

bool event_stream(std::string_view bytes)
{
    auto const whole = parse(bytes, bytes.size());
    auto const pieces = parse(bytes, 3);
    require(whole.texts == pieces.texts && whole.whole == pieces.whole,
            "events do not depend on how the network splits them");
    return whole.whole && whole.all_valid && !whole.texts.empty();
}

} // namespace buckthornvale::fuzz
