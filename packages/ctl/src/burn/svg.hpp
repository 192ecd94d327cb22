#ifndef BUCKTHORNVALE_CTL_BURN_SVG_HPP
#define BUCKTHORNVALE_CTL_BURN_SVG_HPP

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace buckthornvale::ctl
{

//! Escapes the characters that are reserved in HTML and SVG.
std::string escape_markup(std::string_view text);

//! Builds one SVG image. The page's style sheet sets the colours by CSS class.
class svg_picture
{
public:
    using points_t = std::vector<std::pair<double, double>>;

    //! Size in SVG user units; the page scales the image to its width.
    svg_picture(double width, double height, std::string_view title);

    //! The tooltip is shown while the pointer hovers over the rectangle.
    void rectangle(double x, double y, double width, double height,
                   std::string_view css_class, std::string_view tooltip = {});
    void line(double x1, double y1, double x2, double y2,
              std::string_view css_class);
    void polyline(points_t const& points, std::string_view css_class);
    void polygon(points_t const& points, std::string_view css_class);
    void dot(double x, double y, std::string_view css_class,
             std::string_view tooltip);

    //! `anchor` is the SVG text-anchor: start, middle or end.
    void text(double x, double y, std::string_view text,
              std::string_view anchor = "start",
              std::string_view css_class = {});

    std::string finish();

private:
    void append_shape(std::string_view name, points_t const& points,
                      std::string_view css_class);

    std::string out_;
};

} // namespace buckthornvale::ctl

#endif
