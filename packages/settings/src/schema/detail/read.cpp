#include <buckthornvale/decision/core/text.hpp>
#include <buckthornvale/settings/schema/detail/read.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <cmath>

namespace buckthornvale::settings::detail
{

namespace
{

using decision::as_absl;

void report_wrong_type(problem_collector& collector, toml::node const& node,
                       value_rule const& rule, std::string_view expected)
{
    collector.add(problem_kind::wrong_type, line_of(&node), rule.key,
                  absl::StrCat("the value is not ", as_absl(expected)));
}

std::string range_text(value_rule const& rule)
{
    auto const name = name_of(rule.value_unit);
    return absl::StrFormat("%.15g to %.15g%s%s", rule.range.minimum,
                           rule.range.maximum, name.empty() ? "" : " ",
                           as_absl(name));
}

// Both comparisons are false for NaN, so that NaN is rejected.
bool check_range(problem_collector& collector, toml::node const& node,
                 value_rule const& rule, double value)
{
    if (value >= rule.range.minimum && value <= rule.range.maximum)
        return true;
    collector.add(problem_kind::out_of_range, line_of(&node), rule.key,
                  absl::StrFormat("%.15g is out of range", value),
                  absl::StrCat("choose a value from ", range_text(rule)));
    return false;
}

bool check_format(problem_collector& collector, toml::node const& node,
                  value_rule const& rule, std::string_view value)
{
    if (matches_format(value, rule.format))
        return true;
    collector.add(
        problem_kind::out_of_range, line_of(&node), rule.key,
        absl::StrCat("'", as_absl(value), "' has the wrong format"),
        absl::StrCat("expected: ", as_absl(description_of(rule.format))));
    return false;
}

std::optional<double> read_number(problem_collector& collector,
                                  toml::node const& node,
                                  value_rule const& rule)
{
    if (!node.is_number())
    {
        report_wrong_type(collector, node, rule, "a number");
        return std::nullopt;
    }
    auto const value = node.value<double>();
    if (!value)
    {
        // toml++ returns no value for an integer that has no exact double.
        collector.add(problem_kind::out_of_range, line_of(&node), rule.key,
                      "the integer is too large",
                      absl::StrCat("choose a value from ", range_text(rule)));
        return std::nullopt;
    }
    if (!check_range(collector, node, rule, *value))
        return std::nullopt;
    return value;
}

std::optional<std::string> read_text(problem_collector& collector,
                                     toml::node const& node,
                                     value_rule const& rule)
{
    auto value = node.value_exact<std::string>();
    if (!value)
    {
        report_wrong_type(collector, node, rule, "a string");
        return std::nullopt;
    }
    if (!check_format(collector, node, rule, *value))
        return std::nullopt;
    return value;
}

template <class Integer>
void read_integer(problem_collector& collector, toml::node const& node,
                  value_rule const& rule, Integer& out)
{
    auto const value = node.value_exact<std::int64_t>();
    if (!value)
        return report_wrong_type(collector, node, rule, "an integer");
    if (check_range(collector, node, rule, static_cast<double>(*value)))
        out = static_cast<Integer>(*value);
}

decision::duration to_duration(double value, unit value_unit)
{
    constexpr double milliseconds_per_second = 1000.;
    auto const seconds = value_unit == unit::milliseconds
                             ? value / milliseconds_per_second
                             : value;
    // Rounds, because the product need not be a whole number of nanoseconds
    // in floating point, for example for 0.3 ms.
    return decision::duration(std::llround(seconds * 1e9));
}

template <class Element, class Read>
void read_list(problem_collector& collector, toml::node const& node,
               value_rule const& rule, std::vector<Element>& out,
               Read read_element)
{
    auto const* array = node.as_array();
    if (!array)
        return report_wrong_type(collector, node, rule, "an array");
    std::vector<Element> values;
    for (std::size_t i = 0; i < array->size(); ++i)
    {
        auto element_rule = rule;
        element_rule.key = absl::StrCat(rule.key, "[", i, "]");
        read_element(*array->get(i), element_rule, values);
    }
    out = std::move(values);
}

} // namespace

std::uint32_t line_of(toml::node const* node)
{
    return node ? node->source().begin.line : 0;
}

void problem_collector::add(problem_kind kind, std::uint32_t line,
                            std::string key, std::string message,
                            std::string remedy)
{
    if (remedy.empty())
        remedy = std::string(traits_of(kind).remedy);
    problems_.push_back({kind,
                         path_,
                         line,
                         std::move(key),
                         std::move(message),
                         std::move(remedy),
                         {}});
}

std::optional<toml::table> parse_toml(problem_collector& collector,
                                      std::string_view text)
{
    try
    {
        return toml::parse(text);
    }
    catch (toml::parse_error const& error)
    {
        collector.add(problem_kind::malformed_toml, error.source().begin.line,
                      "", std::string(error.description()));
        return std::nullopt;
    }
}

void read(problem_collector& collector, toml::node const& node,
          value_rule const& rule, bool& out)
{
    auto const value = node.value_exact<bool>();
    if (!value)
        return report_wrong_type(collector, node, rule, "true or false");
    out = *value;
}

void read(problem_collector& collector, toml::node const& node,
          value_rule const& rule, double& out)
{
    if (auto const value = read_number(collector, node, rule))
        out = *value;
}

void read(problem_collector& collector, toml::node const& node,
          value_rule const& rule, std::uint16_t& out)
{
    read_integer(collector, node, rule, out);
}

void read(problem_collector& collector, toml::node const& node,
          value_rule const& rule, std::uint32_t& out)
{
    read_integer(collector, node, rule, out);
}

void read(problem_collector& collector, toml::node const& node,
          value_rule const& rule, decision::duration& out)
{
    if (auto const value = read_number(collector, node, rule))
        out = to_duration(*value, rule.value_unit);
}

void read(problem_collector& collector, toml::node const& node,
          value_rule const& rule, std::string& out)
{
    if (auto value = read_text(collector, node, rule))
        out = std::move(*value);
}

void read(problem_collector& collector, toml::node const& node,
          value_rule const& rule, decision::runner_kind& out)
{
    if (auto const value = read_text(collector, node, rule))
    {
        out = *value == "engine" ? decision::runner_kind::engine
                                 : decision::runner_kind::service;
    }
}

void read(problem_collector& collector, toml::node const& node,
          value_rule const& rule, std::vector<std::string>& out)
{
    read_list(collector, node, rule, out,
              [&](auto const& element, auto const& element_rule, auto& values)
              {
                  if (auto value = read_text(collector, element, element_rule))
                      values.push_back(std::move(*value));
              });
}

void read(problem_collector& collector, toml::node const& node,
          value_rule const& rule, std::vector<decision::duration>& out)
{
    read_list(collector, node, rule, out,
              [&](auto const& element, auto const& element_rule, auto& values)
              {
                  if (auto const value =
                          read_number(collector, element, element_rule))
                      values.push_back(to_duration(*value, rule.value_unit));
              });
}

void report_unknown_keys(problem_collector& collector, toml::table const& table,
                         std::string const& prefix,
                         std::vector<std::string_view> const& known,
                         absl::Span<std::string_view const> children)
{
    for (auto const& [name, node] : table)
    {
        std::string_view const text = name.str();
        bool const is_known =
            std::find(known.begin(), known.end(), text) != known.end() ||
            std::find(children.begin(), children.end(), text) != children.end();
        if (!is_known)
        {
            collector.add(problem_kind::unknown_key, line_of(&node),
                          prefix + std::string(text), "the key is unknown");
        }
    }
}

toml::table const* child_table(problem_collector& collector,
                               toml::table const& table, std::string_view name)
{
    auto const* node = table.get(name);
    if (!node)
        return nullptr;
    if (!node->is_table())
    {
        collector.add(problem_kind::wrong_type, line_of(node),
                      std::string(name), "the value is not a table",
                      absl::StrCat("write it as [", as_absl(name), "]"));
        return nullptr;
    }
    return node->as_table();
}

std::vector<toml::table const*> child_tables(problem_collector& collector,
                                             toml::table const& table,
                                             std::string_view name)
{
    std::vector<toml::table const*> entries;
    auto const* node = table.get(name);
    if (!node)
        return entries;
    auto const* array = node->as_array();
    bool is_valid = array != nullptr;
    for (std::size_t i = 0; is_valid && i < array->size(); ++i)
    {
        auto const* entry = array->get(i)->as_table();
        is_valid = entry != nullptr;
        entries.push_back(entry);
    }
    if (is_valid)
        return entries;
    collector.add(problem_kind::wrong_type, line_of(node), std::string(name),
                  "the value is not an array of tables",
                  absl::StrCat("write each entry as [[", as_absl(name), "]]"));
    return {};
}

std::string entry_prefix(std::string_view name, std::size_t index)
{
    return absl::StrCat(as_absl(name), "[", index, "].");
}

} // namespace buckthornvale::settings::detail
