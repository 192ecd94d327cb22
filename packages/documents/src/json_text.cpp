#include <buckthornvale/documents/json_text.hpp>

#include <algorithm>

namespace buckthornvale::documents
{

namespace
{

//! Scans a document and tracks its nesting depth. Strings are skipped as a
//! whole, so that brackets in them do not count.
class json_scanner
{
public:
    explicit json_scanner(std::string_view text) : text_(text) {}

    bool done() const { return position_ >= text_.size(); }
    std::size_t position() const { return position_; }
    std::size_t depth() const { return depth_; }
    char current() const { return text_[position_]; }

    //! Moves past one character, or past a complete string.
    void advance()
    {
        auto const c = text_[position_++];
        if (c == '"')
            skip_string();
        else if (c == '{' || c == '[')
            ++depth_;
        else if ((c == '}' || c == ']') && depth_ > 0)
            --depth_;
    }

private:
    void skip_string()
    {
        while (!done() && text_[position_] != '"')
            position_ += text_[position_] == '\\' ? 2 : 1;
        position_ = std::min(position_ + 1, text_.size());
    }

    std::string_view text_;
    std::size_t position_ = 0;
    std::size_t depth_ = 0;
};

constexpr std::string_view whitespace = " \t\r\n";

std::string_view trim(std::string_view text)
{
    auto const first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

//! Whether a character in an array or object shows that it is not empty.
bool begins_content(char c)
{
    return c != ']' && c != '}' && whitespace.find(c) == std::string_view::npos;
}

bool exceeds(std::string_view text, json_depth_limit limit)
{
    for (json_scanner it(text); !it.done(); it.advance())
    {
        if (it.depth() > limit.max_depth &&
            (limit.counts_empty || begins_content(it.current())))
            return true;
    }
    return false;
}

//! Compares the quoted member name `raw_name`, which may contain escapes, with
//! `name`.
bool is_member_name(std::string_view raw_name, std::string_view name)
{
    if (raw_name.find('\\') == std::string_view::npos)
        return raw_name.size() == name.size() + 2 &&
               raw_name.substr(1, name.size()) == name;
    auto const parsed = nlohmann::json::parse(raw_name, nullptr, false);
    return parsed.is_string() && parsed.get_ref<std::string const&>() == name;
}

} // namespace

std::optional<nlohmann::json> parse_json(std::string_view text,
                                         json_depth_limit limit)
{
    // nlohmann-json treats a NUL byte as the end of the text, but raw_member
    // would find members after it. Valid JSON contains no unescaped NUL.
    if (text.find('\0') != std::string_view::npos || exceeds(text, limit))
        return std::nullopt;
    auto value = nlohmann::json::parse(text, nullptr, false);
    if (value.is_discarded())
        return std::nullopt;
    return value;
}

std::string_view raw_member(std::string_view object, std::string_view name)
{
    std::string_view found;
    std::string_view key;
    std::size_t start = 0;
    for (json_scanner it(object); !it.done();)
    {
        auto const c = it.current();
        auto const at = it.position();
        auto const depth = it.depth();
        it.advance();
        if (depth == 1 && c == ':')
        {
            key = trim(object.substr(start, at - start));
            start = at + 1;
        }
        else if (depth == 1 && (c == ',' || c == '}'))
        {
            if (is_member_name(key, name))
                found = trim(object.substr(start, at - start));
            start = at + 1;
        }
        else if (depth == 0 && c == '{')
        {
            start = at + 1;
        }
    }
    return found;
}

std::vector<std::string_view> raw_elements(std::string_view array)
{
    std::vector<std::string_view> out;
    std::size_t start = 0;
    for (json_scanner it(array); !it.done();)
    {
        auto const c = it.current();
        auto const at = it.position();
        auto const depth = it.depth();
        it.advance();
        if (depth == 0 && c == '[')
            start = at + 1;
        else if (depth == 1 && (c == ',' || c == ']'))
        {
            auto const element = trim(array.substr(start, at - start));
            if (!element.empty())
                out.push_back(element);
            start = at + 1;
        }
    }
    return out;
}

std::string write_json(nlohmann::json const& value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void append_raw_member(std::string& object, std::string_view name,
                       std::string_view value)
{
    auto const empty = object == "{}";
    object.pop_back();
    object.append(empty ? "\"" : ",\"").append(name).append("\":");
    object.append(value).append("}");
}

} // namespace buckthornvale::documents
