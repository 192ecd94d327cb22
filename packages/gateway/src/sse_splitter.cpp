#include <buckthornvale/gateway/sse_splitter.hpp>
#include <buckthornvale/http/text.hpp>

#include <algorithm>

namespace buckthornvale::gateway
{

namespace
{

//! Number of bytes of a separator of events that earlier bytes can end with.
constexpr std::size_t max_partial_separator = 2;

//! Returns the end of the last complete event, which an empty line terminates.
//! Zero if there is none.
std::size_t complete_events_end(std::string_view text)
{
    auto const end_after = [&](std::string_view separator)
    {
        auto const at = text.rfind(separator);
        return at == std::string_view::npos ? 0 : at + separator.size();
    };
    return std::max(end_after("\n\n"), end_after("\n\r\n"));
}

} // namespace

std::string_view sse_splitter::feed(std::string_view bytes)
{
    buffer_.erase(0, returned_bytes_);
    // The rest of the buffer is an incomplete event, which may be large.
    auto const searched_from =
        buffer_.size() - std::min(buffer_.size(), max_partial_separator);
    buffer_.append(bytes);
    auto const end =
        complete_events_end(std::string_view(buffer_).substr(searched_from));
    returned_bytes_ = end == 0 ? 0 : searched_from + end;
    std::string_view const events(buffer_.data(), returned_bytes_);
    update_event_ids(events);
    return events;
}

std::string_view sse_splitter::incomplete_event() const
{
    return std::string_view(buffer_).substr(returned_bytes_);
}

bool sse_splitter::inside_event() const
{
    auto rest = incomplete_event();
    while (!rest.empty())
    {
        auto const end = rest.find('\n');
        auto const line = rest.substr(0, end);
        if (end == std::string_view::npos)
            return line != "\r";
        if (!line.empty() && line.front() != ':' && line != "\r")
            return true;
        rest.remove_prefix(end + 1);
    }
    return false;
}

void sse_splitter::update_event_ids(std::string_view events)
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
        line = line.substr(0, line.find('\r'));
        if (line.find('\0') != std::string_view::npos)
            continue;
        last_event_id_ = line;
        if (first_event_id_.empty())
            first_event_id_ = line;
    }
}

bool is_repeated_event(std::string_view id, std::string_view last_sent_id)
{
    if (id.empty() || last_sent_id.empty())
        return false;
    auto const number = http::parse_number(id);
    auto const last_number = http::parse_number(last_sent_id);
    return number && last_number ? *number <= *last_number : id == last_sent_id;
}

} // namespace buckthornvale::gateway
