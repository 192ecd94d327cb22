#include <buckthornvale/ctl/burn/prometheus_text.hpp>
#include <buckthornvale/decision/core/text.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

#include <optional>

namespace buckthornvale::ctl
{

namespace
{

bool is_name_character(char it)
{
    auto const value = static_cast<unsigned char>(it);
    return absl::ascii_isalnum(value) || it == '_' || it == ':';
}

// Tokenizes one line from left to right.
class line_reader
{
public:
    explicit line_reader(std::string_view line) : rest_(line) {}

    std::string_view name()
    {
        skip_blanks();
        std::size_t n = 0;
        while (n < rest_.size() && is_name_character(rest_[n]))
            ++n;
        return take(n);
    }

    bool accept(char wanted)
    {
        skip_blanks();
        if (rest_.empty() || rest_.front() != wanted)
            return false;
        rest_.remove_prefix(1);
        return true;
    }

    // Parses a quoted string with the escapes \\, \" and \n.
    std::optional<std::string> quoted()
    {
        if (!accept('"'))
            return std::nullopt;
        std::string text;
        while (!rest_.empty() && rest_.front() != '"')
        {
            char it = take(1).front();
            if (it == '\\' && !rest_.empty())
            {
                it = take(1).front();
                it = it == 'n' ? '\n' : it;
            }
            text += it;
        }
        if (!accept('"'))
            return std::nullopt;
        return text;
    }

    // Parses the sample value and ignores a timestamp after it.
    std::optional<double> value()
    {
        skip_blanks();
        auto const end = rest_.find_first_of(" \t\r");
        double number = 0.;
        if (!absl::SimpleAtod(decision::as_absl(rest_.substr(0, end)), &number))
            return std::nullopt;
        return number;
    }

private:
    void skip_blanks()
    {
        while (!rest_.empty() &&
               (rest_.front() == ' ' || rest_.front() == '\t'))
            rest_.remove_prefix(1);
    }

    std::string_view take(std::size_t n)
    {
        auto const taken = rest_.substr(0, n);
        rest_.remove_prefix(n);
        return taken;
    }

    std::string_view rest_;
};

bool read_labels(line_reader& reader, series& into)
{
    if (!reader.accept('{'))
        return true;
    while (!reader.accept('}'))
    {
        auto const name = reader.name();
        if (name.empty() || !reader.accept('='))
            return false;
        auto value = reader.quoted();
        if (!value)
            return false;
        into.labels[std::string(name)] = std::move(*value);
        reader.accept(',');
    }
    return true;
}

} // namespace

std::string const& series::label(std::string const& key) const
{
    static std::string const none;
    auto const it = labels.find(key);
    return it == labels.end() ? none : it->second;
}

series_values parse_prometheus(std::string_view text, std::string_view prefix)
{
    series_values values;
    while (!text.empty())
    {
        auto const end = text.find('\n');
        auto const line = text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size()
                                                         : end + 1);
        line_reader reader(line);
        series key;
        key.name = std::string(reader.name());
        if (key.name.compare(0, prefix.size(), prefix) != 0 ||
            key.name.empty() || !read_labels(reader, key))
            continue;
        if (auto const value = reader.value())
            values[std::move(key)] = *value;
    }
    return values;
}

} // namespace buckthornvale::ctl
