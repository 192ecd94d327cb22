#include <buckthornvale/decision/gateway/manifest.hpp>
#include <buckthornvale/decision/gateway/stage_order.hpp>

#include <algorithm>

namespace buckthornvale::decision::gateway
{

char const* name_of(route_defect defect)
{
    constexpr char const* names[] = {"none",
                                     "unreadable_place",
                                     "unreadable_services",
                                     "unreadable_stages",
                                     "unknown_stage",
                                     "cycle_of_stages"};
    return names[static_cast<std::size_t>(defect)];
}

void manifest::add_route(route value)
{
    if (value.defect == route_defect::none)
        value.defect = check_stages(value.stages);
    if (value.defect != route_defect::none)
        defective_routes_.push_back({value.name, value.defect});
    if (value.defect == route_defect::unreadable_place)
        return;
    auto& routes = routes_[value.host];
    auto const place =
        std::upper_bound(routes.begin(), routes.end(), value.path_prefix.size(),
                         [](std::size_t size, route const& it)
                         { return size > it.path_prefix.size(); });
    routes.insert(place, std::move(value));
    ++route_count_;
}

void manifest::add_key(std::string key, organisation owner)
{
    has_organisations = true;
    keys_.insert_or_assign(std::move(key), std::move(owner));
}

route const* manifest::find_route(std::string_view host,
                                  std::string_view path) const
{
    auto const found = routes_.find(host);
    if (found == routes_.end())
        return nullptr;
    for (auto const& it : found->second)
        if (path.substr(0, it.path_prefix.size()) == it.path_prefix)
            return &it;
    return nullptr;
}

organisation const* manifest::find_organisation(std::string_view key) const
{
    auto const found = keys_.find(key);
    return found == keys_.end() ? nullptr : &found->second;
}

service const* manifest::find_service(std::string_view name) const
{
    auto const found = services.find(name);
    return found == services.end() ? nullptr : &found->second;
}

} // namespace buckthornvale::decision::gateway
