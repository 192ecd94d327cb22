#include "common/model_store.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace buckthornvale::standins
{

using nlohmann::json;

bool model_store::load_model(std::string const& name)
{
    std::lock_guard lock(mutex_);
    return models_.insert(name).second;
}

bool model_store::load_adapter(std::string const& name)
{
    std::lock_guard lock(mutex_);
    return adapters_.insert(name).second;
}

bool model_store::apply(std::string const& kind, std::string const& name)
{
    if (kind == "load")
        models_.insert(name);
    else if (kind == "unload")
        models_.erase(name);
    else if (kind == "adapter")
        adapters_.insert(name);
    else if (kind == "version")
        version_ = name;
    else if (kind == "role")
        role_ = name;
    else
        return false;
    return true;
}

model_store::verdict model_store::execute(std::string const& body,
                                          bool checks_fencing)
{
    auto const order = json::parse(body, nullptr, false);
    if (!order.is_object())
        return verdict::malformed;
    std::lock_guard lock(mutex_);
    try
    {
        auto const fencing = order.at("fencing").get<std::uint64_t>();
        auto const kind = order.at("kind").get<std::string>();
        auto const name = order.at("name").get<std::string>();
        if (checks_fencing && fencing < highest_fencing_)
        {
            stale_.push_back(body);
            return verdict::stale;
        }
        if (!apply(kind, name))
            return verdict::malformed;
        highest_fencing_ = std::max(highest_fencing_, fencing);
        taken_.push_back(body);
        return verdict::taken;
    }
    catch (json::exception const&)
    {
        return verdict::malformed;
    }
}

std::uint64_t model_store::highest_fencing() const
{
    std::lock_guard lock(mutex_);
    return highest_fencing_;
}

std::vector<std::string> model_store::models() const
{
    std::lock_guard lock(mutex_);
    return {models_.begin(), models_.end()};
}

std::vector<std::string> model_store::adapters() const
{
    std::lock_guard lock(mutex_);
    return {adapters_.begin(), adapters_.end()};
}

std::string model_store::orders_json() const
{
    std::lock_guard lock(mutex_);
    return json({{"taken", taken_},
                 {"stale", stale_},
                 {"version", version_},
                 {"role", role_}})
        .dump();
}

} // namespace buckthornvale::standins
