#include "connection_table.hpp"

namespace buckthornvale::peer::detail
{

connection_state* connection_table::find(handle const& id)
{
    auto const it = states_.find(id);
    return it == states_.end() ? nullptr : &it->second;
}

connection_state const* connection_table::find(handle const& id) const
{
    auto const it = states_.find(id);
    return it == states_.end() ? nullptr : &it->second;
}

std::optional<connection_state> connection_table::take(handle const& id)
{
    auto const it = states_.find(id);
    if (it == states_.end())
        return std::nullopt;
    auto const state = it->second;
    states_.erase(it);
    return state;
}

std::vector<handle> connection_table::ids() const
{
    std::vector<handle> out;
    for (auto const& it : states_)
        out.push_back(it.first);
    return out;
}

std::vector<handle>
connection_table::without_hello(std::chrono::steady_clock::time_point now,
                                std::chrono::milliseconds limit) const
{
    std::vector<handle> out;
    for (auto const& it : states_)
    {
        if (!it.second.vm && now - it.second.opened > limit)
            out.push_back(it.first);
    }
    return out;
}

} // namespace buckthornvale::peer::detail
