#include "result_ledger.hpp"

#include <buckthornvale/http/text.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace buckthornvale::soak
{

void result_ledger::called(std::string_view call, std::string_view answer)
{
    auto const items = nlohmann::json::parse(call).at("items");
    auto const made = nlohmann::json::parse(answer).at("items");
    for (std::size_t n = 0; n < items.size(); ++n)
    {
        auto const id = items[n].at("id").get<std::string>();
        bool const from_inputs = items[n].contains("inputs");
        if (from_inputs)
            check_inputs(id, items[n].at("inputs"), false, "a piece");
        results_[made[n].at("handle")] = {id, from_inputs};
    }
}

void result_ledger::read_by_request(std::string const& id,
                                    std::string_view handles)
{
    std::set<std::string> all;
    for (auto const it : http::split(handles, ','))
        all.emplace(it);
    check_inputs(id, all, true, "a model runner");
}

void result_ledger::check_inputs(std::string const& id,
                                 std::set<std::string> const& handles,
                                 bool from_inputs, char const* reader)
{
    bool const all_own =
        std::all_of(handles.begin(), handles.end(),
                    [&](std::string const& it)
                    {
                        auto const found = results_.find(it);
                        return found != results_.end() &&
                               found->second.request == id &&
                               found->second.from_inputs == from_inputs;
                    });
    if (!all_own || handles.size() != pieces_per_stage)
        violations_.add_violation(id + ": " + reader +
                                  " was given other results than its own");
}

} // namespace buckthornvale::soak
