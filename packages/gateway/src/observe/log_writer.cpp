#include <buckthornvale/gateway/observe/log_writer.hpp>

#include <chrono>
#include <cstdio>
#include <fcntl.h>
#include <unistd.h>

namespace buckthornvale::gateway::observe
{

namespace
{

void append_text(std::string& out, std::string_view text)
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

void append_field(std::string& out, char const* name, std::string_view value)
{
    out += ",\"";
    out += name;
    out += "\":";
    append_text(out, value);
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
    waiting_ += "{\"t\":";
    waiting_ += std::to_string(ms);
    append_field(waiting_, "vm", vm_name_);
    append_field(waiting_, "what", value.what);
    if (!value.request_id.empty())
        append_field(waiting_, "request", value.request_id);
    for (auto const& it : value.fields)
        append_field(waiting_, it.name, it.value);
    waiting_ += "}\n";
}

void log_writer::write(decision::gateway::log_decision const& value,
                       decision::time_point now)
{
    auto const second =
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch())
            .count();
    if (second != second_)
    {
        second_ = second;
        lines_ = 0;
        if (dropped_ > reported_)
        {
            append_line({"lines_dropped",
                         {},
                         {{"count", std::to_string(dropped_ - reported_)}}});
            reported_ = dropped_;
        }
    }
    if (++lines_ > max_lines_per_second || waiting_.size() > max_waiting)
    {
        ++dropped_;
        return;
    }
    append_line(value);
}

void log_writer::flush()
{
    if (waiting_.empty())
        return;
    auto const n = ::write(descriptor_, waiting_.data(), waiting_.size());
    if (n > 0)
        waiting_.erase(0, static_cast<std::size_t>(n));
}

} // namespace buckthornvale::gateway::observe
