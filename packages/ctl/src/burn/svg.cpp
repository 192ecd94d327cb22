#include "svg.hpp"

#include <buckthornvale/decision/core/text.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_replace.h>

namespace buckthornvale::ctl
{

using decision::as_absl;

std::string escape_markup(std::string_view text)
{
    return absl::StrReplaceAll(
        as_absl(text),
        {{"&", "&amp;"}, {"<", "&lt;"}, {">", "&gt;"}, {"\"", "&quot;"}});
}

svg_picture::svg_picture(double width, double height, std::string_view title)
    : out_(absl::StrFormat("<svg viewBox=\"0 0 %g %g\" role=\"img\" "
                           "aria-label=\"%s\">\n",
                           width, height, escape_markup(title)))
{
}

void svg_picture::rectangle(double x, double y, double width, double height,
                            std::string_view css_class,
                            std::string_view tooltip)
{
    absl::StrAppendFormat(&out_,
                          "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" "
                          "height=\"%.1f\" rx=\"2\" class=\"%s\">",
                          x, y, width, height, as_absl(css_class));
    if (!tooltip.empty())
        absl::StrAppend(&out_, "<title>", escape_markup(tooltip), "</title>");
    out_ += "</rect>\n";
}

void svg_picture::line(double x1, double y1, double x2, double y2,
                       std::string_view css_class)
{
    absl::StrAppendFormat(&out_,
                          "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" "
                          "y2=\"%.1f\" class=\"%s\"/>\n",
                          x1, y1, x2, y2, as_absl(css_class));
}

void svg_picture::polyline(points_t const& points, std::string_view css_class)
{
    append_shape("polyline", points, css_class);
}

void svg_picture::polygon(points_t const& points, std::string_view css_class)
{
    append_shape("polygon", points, css_class);
}

void svg_picture::dot(double x, double y, std::string_view css_class,
                      std::string_view tooltip)
{
    absl::StrAppendFormat(&out_,
                          "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"3\" "
                          "class=\"%s\"><title>%s</title></circle>\n",
                          x, y, as_absl(css_class), escape_markup(tooltip));
}

void svg_picture::text(double x, double y, std::string_view text,
                       std::string_view anchor, std::string_view css_class)
{
    absl::StrAppendFormat(&out_,
                          "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\" "
                          "class=\"%s\">%s</text>\n",
                          x, y, as_absl(anchor), as_absl(css_class),
                          escape_markup(text));
}

std::string svg_picture::finish()
{
    return std::move(out_) + "</svg>\n";
}

void svg_picture::append_shape(std::string_view name, points_t const& points,
                               std::string_view css_class)
{
    absl::StrAppend(&out_, "<", as_absl(name), " points=\"");
    for (auto const& [x, y] : points)
        absl::StrAppendFormat(&out_, "%.1f,%.1f ", x, y);
    absl::StrAppend(&out_, "\" class=\"", as_absl(css_class), "\"/>\n");
}

} // namespace buckthornvale::ctl
