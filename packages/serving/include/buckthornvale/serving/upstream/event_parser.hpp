#ifndef BUCKTHORNVALE_SERVING_UPSTREAM_EVENT_PARSER_HPP
#define BUCKTHORNVALE_SERVING_UPSTREAM_EVENT_PARSER_HPP

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace buckthornvale::serving::upstream
{

//! Incremental parser for server-sent events with bounded memory.
class event_parser
{
public:
    //! Takes one event; false stops the parser.
    using handler =
        std::function<bool(std::string_view name, std::string_view data)>;

    //! An event with its names may hold `max_event_bytes`.
    event_parser(std::size_t max_event_bytes, handler on_event);

    //! Parses the next bytes; false when an event is too large or the handler
    //! stopped.
    bool feed(std::string_view bytes);

private:
    bool end_line();
    bool end_event();
    void take_field(std::string_view name, std::string_view value);

    std::size_t const max_event_bytes_;
    handler on_event_;
    std::string line_;
    std::string name_;
    std::string data_;
    bool has_data_ = false;
    bool after_return_ = false;
};

} // namespace buckthornvale::serving::upstream

#endif
