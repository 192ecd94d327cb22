#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/gateway/crash_suspect.hpp>

namespace buckthornvale::decision::gateway
{

char const* name_of(suspect_kind kind)
{
    switch (kind)
    {
    case suspect_kind::prompt_part:
        return "prompt_part";
    case suspect_kind::path:
        return "path";
    case suspect_kind::key:
        return "key";
    }
    return "";
}

std::vector<crash_suspect> crash_suspects_of(std::string_view service,
                                             request_traits const& traits)
{
    auto const scope = stable_hash(service);
    std::vector<crash_suspect> out;
    for (std::size_t n = 0; n + 1 < traits.prompt.size(); ++n)
        out.push_back({suspect_kind::prompt_part, scope, traits.prompt[n].id});
    out.push_back({suspect_kind::path, scope, stable_hash(traits.path)});
    if (!traits.key.empty())
        out.push_back({suspect_kind::key, scope, stable_hash(traits.key)});
    return out;
}

} // namespace buckthornvale::decision::gateway
