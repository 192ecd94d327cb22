#include <buckthornvale/gateway/event_splitter.hpp>

#include <algorithm>

namespace buckthornvale::gateway
{

namespace
{

//! End of the last whole event: after an empty line.
std::size_t end_of_events(std::string_view text)
{
    auto const position = [&](std::string_view mark)
    {
        auto const at = text.rfind(mark);
        return at == std::string_view::npos ? 0 : at + mark.size();
    };
    return std::max(position("\n\n"), position("\n\r\n"));
}

} // namespace

std::string_view event_splitter::feed(std::string_view bytes)
{
    held_.erase(0, passed_);
    held_.append(bytes);
    passed_ = end_of_events(held_);
    std::string_view const events(held_.data(), passed_);
    note_ids(events);
    return events;
}

std::string_view event_splitter::rest() const
{
    return std::string_view(held_).substr(passed_);
}

void event_splitter::note_ids(std::string_view events)
{
    constexpr std::string_view field = "id:";
    std::size_t start = 0;
    while (start < events.size())
    {
        auto const end = std::min(events.find('\n', start), events.size());
        auto line = events.substr(start, end - start);
        start = end + 1;
        if (line.substr(0, field.size()) != field)
            continue;
        line.remove_prefix(field.size());
        if (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        last_id_ = line;
    }
}

} // namespace buckthornvale::gateway
