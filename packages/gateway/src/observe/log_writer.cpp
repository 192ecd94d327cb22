#include <buckthornvale/gateway/observe/log_writer.hpp>

#include <chrono>
#include <cstdio>
#include <fcntl.h>
#include <unistd.h>

namespace buckthornvale::gateway::observe
{

namespace
{

void append_json_string(std::string& out, std::string_view text)
{
    out += '"';
    for (unsigned char const it : text)
    {
        if (it == '"' || it == '\\')
        {
            out += '\\';
            out += char(it);
        }
        else if (it < 0x20 || it >= 0x7f)
        {
            char buf[8];
            std::snprintf(buf, sizeof(buf), "\\u%04x", unsigned{it});
            out += buf;
        }
        else
            out += char(it);
    }
    out += '"';
}

//! Longer values are cut, and a field tells their size.
constexpr std::size_t max_value_bytes = 512;

void append_field(std::string& out, char const* name, std::string_view value)
{
    out += ",\"";
    out += name;
    out += "\":";
    append_json_string(out, value.substr(0, max_value_bytes));
    if (value.size() <= max_value_bytes)
        return;
    out += ",\"";
    out += name;
    out += "_bytes\":\"" + std::to_string(value.size()) + "\"";
}

} // namespace

log_writer::log_writer(int descriptor, std::string vm_name)
    : descriptor_(descriptor), vm_name_(std::move(vm_name))
{
    int const flags = ::fcntl(descriptor_, F_GETFL);
    if (flags >= 0)
        static_cast<void>(::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK));
}

void log_writer::append_line(decision::gateway::log_decision const& value)
{
    auto const ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
    buffer_ += "{\"t\":";
    buffer_ += std::to_string(ms);
    append_field(buffer_, "vm", vm_name_);
    append_field(buffer_, "what", value.what);
    if (!value.request_id.empty())
        append_field(buffer_, "request", value.request_id);
    for (auto const& it : value.fields)
        append_field(buffer_, it.name, it.value);
    buffer_ += "}\n";
}

void log_writer::write(decision::gateway::log_decision const& value,
                       decision::time_point now)
{
    auto const second =
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch())
            .count();
    if (second != current_second_)
    {
        current_second_ = second;
        lines_this_second_ = 0;
        if (dropped_lines_ > reported_dropped_)
        {
            append_line({"lines_dropped",
                         {},
                         {{"count", std::to_string(dropped_lines_ -
                                                   reported_dropped_)}}});
            reported_dropped_ = dropped_lines_;
        }
    }
    if (++lines_this_second_ > max_lines_per_second ||
        buffer_.size() > max_buffered_bytes)
    {
        ++dropped_lines_;
        return;
    }
    append_line(value);
}

void log_writer::flush()
{
    if (buffer_.empty())
        return;
    auto const n = ::write(descriptor_, buffer_.data(), buffer_.size());
    if (n > 0)
        buffer_.erase(0, static_cast<std::size_t>(n));
}

} // namespace buckthornvale::gateway::observe
