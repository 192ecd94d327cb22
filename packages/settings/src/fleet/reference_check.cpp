#include "reference_check.hpp"

#include <algorithm>

namespace buckthornvale::settings
{

problem make_problem(problem_kind kind, object_path const& path,
                     std::string key, std::string message,
                     std::string blocked_by)
{
    problem value;
    value.kind = kind;
    value.path = to_text(path);
    value.key = std::move(key);
    value.message = std::move(message);
    value.remedy = std::string(traits_of(kind).remedy);
    value.blocked_by = std::move(blocked_by);
    return value;
}

void check_pool_reference(object_path const& path, reference const& needed,
                          decision::pool_settings const& pool,
                          problem_list& problems)
{
    auto const add = [&](problem_kind kind, std::string message)
    {
        auto value = make_problem(kind, path, needed.key, std::move(message),
                                  to_text(needed.target));
        value.line = needed.line;
        problems.push_back(std::move(value));
    };
    if (needed.needs_engine && pool.kind != decision::runner_kind::engine)
    {
        add(problem_kind::inconsistent,
            "the stage needs a model engine, but pool '" + pool.name +
                "' consists of services");
    }
    auto const& models = pool.models;
    bool const is_listed =
        needed.model.empty() || models.empty() ||
        std::find(models.begin(), models.end(), needed.model) != models.end();
    if (!is_listed)
    {
        add(problem_kind::unknown_reference, "pool '" + pool.name +
                                                 "' does not list the model '" +
                                                 needed.model + "'");
    }
}

} // namespace buckthornvale::settings
