#include <buckthornvale/decision/core/text.hpp>
#include <buckthornvale/settings/fleet/key_tables.hpp>
#include <buckthornvale/settings/process/process_settings.hpp>
#include <buckthornvale/settings/schema/problem.hpp>
#include <buckthornvale/settings/schema/reference_page.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>

namespace buckthornvale::settings
{

namespace
{

using decision::as_absl;

// Type and value of a key as the page shows them.
struct rendered_value
{
    std::string type;
    std::string value;
};

double to_unit(decision::duration value, unit value_unit)
{
    constexpr double milliseconds_per_second = 1000.;
    auto const seconds = decision::to_seconds(value);
    return value_unit == unit::milliseconds ? seconds * milliseconds_per_second
                                            : seconds;
}

std::string format_number(double value)
{
    return absl::StrFormat("%.10g", value);
}

rendered_value render(bool value, unit /*value_unit*/)
{
    return {"boolean", value ? "true" : "false"};
}

rendered_value render(double value, unit /*value_unit*/)
{
    return {"number", format_number(value)};
}

rendered_value render(std::uint16_t value, unit /*value_unit*/)
{
    return {"integer", absl::StrCat(value)};
}

rendered_value render(std::uint32_t value, unit /*value_unit*/)
{
    return {"integer", absl::StrCat(value)};
}

rendered_value render(decision::duration value, unit value_unit)
{
    return {"number", format_number(to_unit(value, value_unit))};
}

rendered_value render(std::string const& value, unit /*value_unit*/)
{
    return {"string", absl::StrCat("\"", value, "\"")};
}

rendered_value render(decision::runner_kind value, unit /*value_unit*/)
{
    return {"string", value == decision::runner_kind::engine ? "\"engine\""
                                                             : "\"service\""};
}

rendered_value render(std::vector<std::string> const& value,
                      unit /*value_unit*/)
{
    return {"array of strings",
            absl::StrCat("[", absl::StrJoin(value, ", "), "]")};
}

rendered_value render(std::vector<decision::duration> const& value,
                      unit value_unit)
{
    auto const format = [&](std::string* out, decision::duration it)
    { absl::StrAppend(out, format_number(to_unit(it, value_unit))); };
    return {"array of numbers",
            absl::StrCat("[", absl::StrJoin(value, ", ", format), "]")};
}

template <class Object>
std::string allowed_values(key_definition<Object> const& it,
                           std::string const& type)
{
    if (type == "boolean")
        return "true, false";
    if (type == "string" || type == "array of strings")
        return std::string(description_of(it.format));
    return format_number(it.range.minimum) + " to " +
           format_number(it.range.maximum);
}

template <class Object>
void append_table(std::string& page, key_table<Object> keys)
{
    page += "| key | type | unit | range | default | meaning |\n"
            "|---|---|---|---|---|---|\n";
    // Static, because gcc 12 warns that an automatic object is uninitialized.
    static Object const defaults{};
    for (auto const& it : keys)
    {
        auto const rendered = std::visit(
            [&](auto field) { return render(defaults.*field, it.value_unit); },
            it.field);
        auto const unit_name = name_of(it.value_unit);
        absl::StrAppend(&page, "| `", as_absl(it.name), "` | ", rendered.type,
                        " | ", unit_name.empty() ? "-" : as_absl(unit_name),
                        " | ", allowed_values(it, rendered.type), " | ",
                        it.required ? "required" : "`" + rendered.value + "`",
                        " | ", as_absl(it.description), " |\n");
    }
    page += '\n';
}

template <class Object>
void append_section(std::string& page, std::string_view heading,
                    std::string_view text, key_table<Object> keys)
{
    absl::StrAppend(&page, "## ", as_absl(heading), "\n\n");
    if (!text.empty())
        absl::StrAppend(&page, as_absl(text), "\n\n");
    append_table(page, keys);
}

void append_problems(std::string& page)
{
    page += "## Reasons for refusal\n\n"
            "| kind | remedy |\n"
            "|---|---|\n";
    for (auto const& it : all_problem_traits())
    {
        absl::StrAppend(&page, "| `", as_absl(it.name), "` | ",
                        as_absl(it.remedy), " |\n");
    }
}

void append_fleet_settings(std::string& page)
{
    page += "# Fleet settings\n\n"
            "Objects of the platform's object API; each value is TOML.\n\n";
    append_section(page, "`settings/ranks`",
                   "Tables `[urgent]`, `[standard]` and `[background]`, all "
                   "three required, each with:",
                   rank_keys());
    append_section(page, "`settings/fleet`",
                   "Optional; the defaults hold without it.", fleet_keys());
    append_section(page, "`settings/pools/<pool>`", "", pool_keys());
    append_section(page, "`[[runners]]` of a pool",
                   "Up to 4096 entries. A pool without runners is allowed.",
                   runner_keys());
    append_section(page, "`settings/pipelines/<pipeline>`", "",
                   pipeline_keys());
    append_section(page, "`[[stages]]` of a pipeline",
                   "1 to 64 entries, in any order.", stage_keys());
    append_section(page, "`settings/organisations/<organisation>/limits`", "",
                   organisation_keys());
}

void append_process_settings(std::string& page)
{
    page += "# Process settings\n\n"
            "The TOML file of one daemon, named by `--config`.\n\n";
    append_section(page, "Top level", "", process_keys());
    append_section(page, "`[http]`", "", http_keys());
    append_section(page, "`[peer]`", "", peer_keys());
    append_section(page, "`[platform]`", "", platform_keys());
    append_section(page, "`[log]`", "", log_keys());
    append_section(page, "`[shutdown]`", "", shutdown_keys());
    append_section(page, "`[limits]`", "", limit_keys());
}

} // namespace

std::string reference_page()
{
    std::string page =
        "<!-- Generated by `buckthornvalectl reference`; do not edit. -->\n\n";
    append_fleet_settings(page);
    append_process_settings(page);
    append_problems(page);
    return page;
}

} // namespace buckthornvale::settings
