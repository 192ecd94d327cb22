#include <buckthornvale/http/text.hpp>
#include <buckthornvale/serving/http/front_target.hpp>

#include <array>

namespace buckthornvale::serving::http
{

namespace
{

//! A path with at most one name in it, between `before` and `after`.
struct path_pattern
{
    front_endpoint endpoint;
    std::string_view method;
    std::string_view before;
    std::string_view after;
    bool has_name;
};

constexpr std::array<path_pattern, 7> patterns = {{
    {front_endpoint::request, "POST", "/v1/pipelines/", "/requests", true},
    {front_endpoint::outcome, "GET", "/v1/outcomes/", "", true},
    {front_endpoint::health, "GET", "/healthz", "", false},
    {front_endpoint::readiness, "GET", "/readyz", "", false},
    {front_endpoint::metrics, "GET", "/metrics", "", false},
    {front_endpoint::status, "GET", "/v1/status", "", false},
    {front_endpoint::drain, "POST", "/v1/drain", "", false},
}};

bool matches(path_pattern const& of, std::string_view path)
{
    std::size_t const fixed = of.before.size() + of.after.size();
    if (!of.has_name)
        return path == of.before;
    return path.size() > fixed &&
           path.substr(0, of.before.size()) == of.before &&
           path.substr(path.size() - of.after.size()) == of.after;
}

} // namespace

front_target find_target(std::string_view method, std::string_view path)
{
    for (auto const& it : patterns)
    {
        if (method != it.method || !matches(it, path))
            continue;
        path.remove_prefix(it.before.size());
        path.remove_suffix(it.after.size());
        auto name = buckthornvale::http::percent_decoded(path);
        if (!name || path.find('/') != std::string_view::npos)
            return {};
        return {it.endpoint, std::move(*name)};
    }
    return {};
}

} // namespace buckthornvale::serving::http
