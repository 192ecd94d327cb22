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

//! Returns the 1-based source line of a node, or 0 for a null node.
std::uint32_t line_of(toml::node const* node);

//! Collects the problems found while one object or file is read.
class problem_collector
{
public:
    explicit problem_collector(std::string path) : path_(std::move(path)) {}

    //! Records a problem. An empty remedy selects the default of the kind.
    void add(problem_kind kind, std::uint32_t line, std::string key,
             std::string message, std::string remedy = {});

    std::string const& path() const { return path_; }
    problem_list const& problems() const { return problems_; }
    problem_list take_problems() { return std::move(problems_); }

private:
    std::string path_;
    problem_list problems_;
};

//! Parses TOML. Records a problem and returns nothing if it is malformed.
std::optional<toml::table> parse_toml(problem_collector& collector,
                                      std::string_view text);

//! Constraints that a value must satisfy.
struct value_rule
{
    std::string key; //!< dotted key, used in messages
    unit value_unit;
    number_range range;
    text_format format;
};

// Read one value. On an invalid value they record a problem and leave `out`
// unchanged.
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

//! Reports each key of the table that is neither in `known` nor in
//! `children`.
void report_unknown_keys(problem_collector& collector, toml::table const& table,
                         std::string const& prefix,
                         std::vector<std::string_view> const& known,
                         absl::Span<std::string_view const> children);

//! Reads all keys of the table into `out`. `prefix` ends with '.' or is
//! empty. `children` names the nested tables, which the caller reads itself.
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

//! Returns the nested table, or null if it is absent or not a table. The
//! latter is reported.
toml::table const* child_table(problem_collector& collector,
                               toml::table const& table, std::string_view name);

//! Returns the entries of an array of tables. The result is empty if the key
//! is absent or, with a problem reported, not an array of tables.
std::vector<toml::table const*> child_tables(problem_collector& collector,
                                             toml::table const& table,
                                             std::string_view name);

//! Returns the key prefix of one array entry, such as `stages[0].`.
std::string entry_prefix(std::string_view name, std::size_t index);

} // namespace buckthornvale::settings::detail

#endif
