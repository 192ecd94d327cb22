#include <buckthornvale/ctl/store/text_diff.hpp>
#include <buckthornvale/decision/core/text.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <vector>

namespace buckthornvale::ctl
{

namespace
{

using lines_t = std::vector<std::string_view>;

constexpr std::size_t context_lines = 3;

// Texts that need a larger table of longest common subsequences are shown as
// one replaced block to bound the memory use.
constexpr std::size_t max_table_cells = 4'000'000;

struct edit
{
    char mark; //!< ' ', '-' or '+'
    std::string_view line;
};

lines_t split(std::string_view text)
{
    lines_t lines;
    while (!text.empty())
    {
        auto const end = text.find('\n');
        lines.push_back(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size()
                                                         : end + 1);
    }
    return lines;
}

// Lengths of the longest common subsequences (LCS) of all pairs of suffixes.
std::vector<std::uint32_t> lcs_lengths(lines_t const& a, lines_t const& b)
{
    auto const width = b.size() + 1;
    std::vector<std::uint32_t> lengths((a.size() + 1) * width, 0);
    for (auto i = a.size(); i-- > 0;)
    {
        for (auto j = b.size(); j-- > 0;)
        {
            lengths[i * width + j] =
                a[i] == b[j] ? lengths[(i + 1) * width + j + 1] + 1
                             : std::max(lengths[(i + 1) * width + j],
                                        lengths[i * width + j + 1]);
        }
    }
    return lengths;
}

void append_lcs_edits(lines_t const& a, lines_t const& b,
                      std::vector<edit>& edits)
{
    std::size_t i = 0;
    std::size_t j = 0;
    if ((a.size() + 1) * (b.size() + 1) <= max_table_cells)
    {
        auto const lengths = lcs_lengths(a, b);
        auto const width = b.size() + 1;
        while (i < a.size() && j < b.size())
        {
            if (a[i] == b[j])
            {
                edits.push_back({' ', a[i++]});
                ++j;
            }
            else if (lengths[(i + 1) * width + j] >= lengths[i * width + j + 1])
                edits.push_back({'-', a[i++]});
            else
                edits.push_back({'+', b[j++]});
        }
    }
    for (; i < a.size(); ++i)
        edits.push_back({'-', a[i]});
    for (; j < b.size(); ++j)
        edits.push_back({'+', b[j]});
}

std::vector<edit> diff_lines(lines_t before, lines_t after)
{
    std::vector<edit> edits;
    std::size_t prefix = 0;
    auto const shorter = std::min(before.size(), after.size());
    while (prefix < shorter && before[prefix] == after[prefix])
        edits.push_back({' ', before[prefix++]});
    lines_t common_tail;
    while (before.size() > prefix && after.size() > prefix &&
           before.back() == after.back())
    {
        common_tail.push_back(before.back());
        before.pop_back();
        after.pop_back();
    }
    before.erase(before.begin(),
                 before.begin() + static_cast<std::ptrdiff_t>(prefix));
    after.erase(after.begin(),
                after.begin() + static_cast<std::ptrdiff_t>(prefix));
    append_lcs_edits(before, after, edits);
    for (auto it = common_tail.rbegin(); it != common_tail.rend(); ++it)
        edits.push_back({' ', *it});
    return edits;
}

// Appends edits [first, last) as one hunk. `before` and `after` are the numbers
// of lines of the two texts that precede the hunk.
void append_hunk(std::string& out, std::vector<edit> const& edits,
                 std::size_t first, std::size_t last, std::size_t before,
                 std::size_t after)
{
    std::size_t removed = 0;
    std::size_t added = 0;
    for (auto i = first; i < last; ++i)
    {
        removed += edits[i].mark != '+' ? 1 : 0;
        added += edits[i].mark != '-' ? 1 : 0;
    }
    absl::StrAppend(&out, "@@ -", before + (removed > 0 ? 1 : 0), ",", removed,
                    " +", after + (added > 0 ? 1 : 0), ",", added, " @@\n");
    for (auto i = first; i < last; ++i)
    {
        out += edits[i].mark;
        absl::StrAppend(&out, decision::as_absl(edits[i].line), "\n");
    }
}

} // namespace

std::string unified_diff(std::string_view before, std::string_view after,
                         std::string_view before_name,
                         std::string_view after_name)
{
    if (before == after)
        return {};
    auto const edits = diff_lines(split(before), split(after));
    auto out = absl::StrCat("--- ", decision::as_absl(before_name), "\n+++ ",
                            decision::as_absl(after_name), "\n");
    std::size_t before_count = 0;
    std::size_t after_count = 0;
    std::size_t counted = 0;
    auto const is_change = [](edit const& it) { return it.mark != ' '; };
    auto next = std::find_if(edits.begin(), edits.end(), is_change);
    while (next != edits.end())
    {
        auto const change = static_cast<std::size_t>(next - edits.begin());
        auto const first =
            std::max(counted, change - std::min(change, context_lines));
        // Changes whose context lines touch or overlap share a hunk.
        auto last = change;
        for (auto i = change; i < edits.size() && i <= last + 2 * context_lines;
             ++i)
        {
            if (is_change(edits[i]))
                last = i;
        }
        auto const end = std::min(edits.size(), last + 1 + context_lines);
        auto const advance_to = [&](std::size_t limit)
        {
            for (; counted < limit; ++counted)
            {
                before_count += edits[counted].mark != '+' ? 1 : 0;
                after_count += edits[counted].mark != '-' ? 1 : 0;
            }
        };
        advance_to(first);
        append_hunk(out, edits, first, end, before_count, after_count);
        advance_to(end);
        next = std::find_if(edits.begin() + static_cast<std::ptrdiff_t>(end),
                            edits.end(), is_change);
    }
    return out;
}

} // namespace buckthornvale::ctl
