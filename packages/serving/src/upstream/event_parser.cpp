#include <buckthornvale/serving/upstream/event_parser.hpp>

namespace buckthornvale::serving::upstream
{

event_parser::event_parser(std::size_t max_event_bytes, handler on_event)
    : max_event_bytes_(max_event_bytes), on_event_(std::move(on_event))
{
}

bool event_parser::feed(std::string_view bytes)
{
    for (auto const c : bytes)
    {
        // "\r\n", "\n" and "\r" each end a line.
        auto const second_of_pair = after_return_ && c == '\n';
        after_return_ = c == '\r';
        if (second_of_pair)
            continue;
        if (c == '\n' || c == '\r')
        {
            if (!end_line())
                return false;
            continue;
        }
        line_.push_back(c);
        if (line_.size() + name_.size() + data_.size() > max_event_bytes_)
            return false;
    }
    return true;
}

bool event_parser::end_line()
{
    if (line_.empty())
        return end_event();
    std::string_view const line = line_;
    auto const colon = line.find(':');
    auto const name = line.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view()
                                                 : line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    take_field(name, value);
    line_.clear();
    return true;
}

void event_parser::take_field(std::string_view name, std::string_view value)
{
    if (name == "event")
    {
        name_ = value;
    }
    else if (name == "data")
    {
        if (has_data_)
            data_.push_back('\n');
        data_.append(value);
        has_data_ = true;
    }
}

bool event_parser::end_event()
{
    auto const go_on = !has_data_ || on_event_(name_, data_);
    name_.clear();
    data_.clear();
    has_data_ = false;
    return go_on;
}

} // namespace buckthornvale::serving::upstream
