#ifndef BUCKTHORNVALE_SETTINGS_SCHEMA_DETAIL_READ_HPP
#define BUCKTHORNVALE_SETTINGS_SCHEMA_DETAIL_READ_HPP

#include <buckthornvale/settings/schema/key.hpp>
#include <buckthornvale/settings/schema/problem.hpp>

#include <toml++/toml.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornvale::settings::detail
{

//! Line of a node in its text, from 1; 0 for a null node.
std::uint32_t line_of(toml::node const* node);

//! Collects the problems of one object while it is read.
class problem_collector
{
public:
    explicit problem_collector(std::string path) : path_(std::move(path)) {}

    //! An empty remedy takes that of the kind.
    void add(problem_kind kind, std::uint32_t line, std::string key,
             std::string message, std::string remedy = {});

    std::string const& path() const { return path_; }
    problem_list const& problems() const { return problems_; }
    problem_list take_problems() { return std::move(problems_); }

private:
    std::string path_;
    problem_list problems_;
};

//! Parses TOML; adds a problem and returns nothing when it is malformed.
std::optional<toml::table> parse_toml(problem_collector& collector,
                                      std::string_view text);

//! What a value is checked against.
struct value_rule
{
    std::string key; //!< dotted, for messages
    unit value_unit;
    number_range range;
    text_format format;
};

// Reads one value; adds a problem and leaves `out` when it is refused.
void read(problem_collector&, toml::node const&, value_rule const&, bool& out);
void read(problem_collector&, toml::node const&, value_rule const&,
          double& out);
void read(problem_collector&, toml::node const&, value_rule const&,
          std::uint16_t& out);
void read(problem_collector&, toml::node const&, value_rule const&,
          std::uint32_t& out);
void read(problem_collector&, toml::node const&, value_rule const&,
          decision::duration& out);
void read(problem_collector&, toml::node const&, value_rule const&,
          std::string& out);
void read(problem_collector&, toml::node const&, value_rule const&,
          decision::runner_kind& out);
void read(problem_collector&, toml::node const&, value_rule const&,
          std::vector<std::string>& out);
void read(problem_collector&, toml::node const&, value_rule const&,
          std::vector<decision::duration>& out);

//! Reports each key of the table that is in neither list.
void report_unknown_keys(problem_collector& collector, toml::table const& table,
                         std::string const& prefix,
                         std::vector<std::string_view> const& known,
                         absl::Span<std::string_view const> children);

//! Reads all keys of the table into `out`. `prefix` ends with '.' or is
//! empty; `children` are the names of nested tables, read by the caller.
template <class Object>
void read_keys(problem_collector& collector, toml::table const& table,
               std::string const& prefix, key_table<Object> keys,
               absl::Span<std::string_view const> children, Object& out)
{
    std::vector<std::string_view> known;
    for (auto const& it : keys)
    {
        known.push_back(it.name);
        value_rule const rule{prefix + std::string(it.name), it.value_unit,
                              it.range, it.format};
        if (auto const* node = table.get(it.name))
        {
            std::visit([&](auto field)
                       { read(collector, *node, rule, out.*field); },
                       it.field);
        }
        else if (it.required)
        {
            collector.add(problem_kind::missing_key, line_of(&table), rule.key,
                          "the key is missing");
        }
    }
    report_unknown_keys(collector, table, prefix, known, children);
}

//! The nested table, or null when it is absent or not a table (a problem).
toml::table const* child_table(problem_collector& collector,
                               toml::table const& table, std::string_view name);

//! The entries of an array of tables; empty when absent or refused.
std::vector<toml::table const*> child_tables(problem_collector& collector,
                                             toml::table const& table,
                                             std::string_view name);

//! Prefix of the keys of one entry: `stages[0].`.
std::string entry_prefix(std::string_view name, std::size_t index);

} // namespace buckthornvale::settings::detail

#endif
