#include "control_handler.hpp"
#include <buckthornvale/gateway/gateway_process.hpp>
#include <buckthornvale/platform/stage_codec.hpp>

#include <algorithm>

namespace buckthornvale::gateway
{

namespace
{

using namespace std::chrono_literals;
namespace model = decision::gateway;

constexpr decision::duration connect_timeout = 300ms;

//! Bounds on an answer to a call of stages. A result is a handle or a reason,
//! of some dozen bytes.
constexpr std::size_t max_answer_bytes = 16'384;
constexpr std::size_t max_result_bytes = 1024;
constexpr decision::duration free_results_timeout = 2s;

model::piece_outcome to_piece_outcome(platform::piece_failure failure)
{
    switch (failure)
    {
    case platform::piece_failure::none:
        return model::piece_outcome::done;
    case platform::piece_failure::late:
        return model::piece_outcome::late;
    case platform::piece_failure::input_gone:
        return model::piece_outcome::input_gone;
    case platform::piece_failure::no_room:
    case platform::piece_failure::error:
        break;
    }
    return model::piece_outcome::failed;
}

//! Only the handles of an answer tell it from a copy of an earlier one, which
//! can come as long as the connection of that one lives.
bool repeats_earlier_answer(
    std::vector<platform::stage_item_result> const& results,
    net::answer_history const& history)
{
    return std::any_of(results.begin(), results.end(),
                       [&](platform::stage_item_result const& it) {
                           return !it.handle.empty() &&
                                  history.contains(it.handle);
                       });
}

void remember(std::vector<platform::stage_item_result> const& results,
              net::answer_history& history)
{
    for (auto const& it : results)
        if (!it.handle.empty())
            history.add(it.handle);
}

} // namespace

void gateway_process::execute(model::call_stage const& effect)
{
    std::vector<platform::stage_item> items;
    items.reserve(effect.pieces.size());
    for (auto const& it : effect.pieces)
    {
        platform::stage_item item;
        item.request_id = it.request_id;
        item.stage = it.stage;
        item.piece = it.number;
        item.time_left = it.time_left;
        item.key = it.key;
        item.inputs = it.inputs;
        items.push_back(std::move(item));
    }
    net::call_options options;
    options.connect_timeout = connect_timeout;
    options.timeout = effect.timeout;
    options.lane = net::call_lane::stage_runs;
    metrics_.count_stage_call(items.size());
    make_call(http_client_, effect.address,
              {"POST", std::string(platform::stage_run_target),
               platform::encode_stage_items(items), effect.runner_id,
               max_answer_bytes + items.size() * max_result_bytes},
              options,
              [this, call = effect.call, runner = effect.runner_id,
               n = items.size()](net::call_result const& result)
              {
                  auto const answer = read_head(runner, result.head);
                  finish_stage_call(call, n, answer, result);
              });
}

platform::runner_response
gateway_process::read_head(std::string const& runner_id,
                           http::response_head const& head)
{
    auto out = platform::decode_runner_response(head);
    bool const answered = head.status != 0;
    if (answered)
        on_runner_head(runner_id, out);
    return out;
}

void gateway_process::finish_stage_call(model::call_ref call,
                                        std::size_t pieces,
                                        platform::runner_response const& answer,
                                        net::call_result const& result)
{
    model::stage_call_ended out;
    out.call = call;
    if (result.failure)
    {
        out.outcome = *result.failure == net::call_failure::not_sent
                          ? model::call_outcome::not_sent
                          : model::call_outcome::no_answer;
        reduce(out);
        return;
    }
    out.misdirected = answer.misdirected;
    auto const results = platform::decode_stage_results(result.body, pieces);
    if (answer.not_executed)
        out.outcome = model::call_outcome::not_sent;
    else if (result.head.status == http::status_ok && results)
    {
        out.outcome = model::call_outcome::answered;
        out.repeated = repeats_earlier_answer(*results, *result.history);
        remember(*results, *result.history);
        for (auto const& it : *results)
            out.pieces.push_back(
                {to_piece_outcome(it.failure),
                 it.failure == platform::piece_failure::no_room, it.handle});
    }
    reduce(out);
}

void gateway_process::execute(model::free_results const& effect)
{
    net::call_options options;
    options.connect_timeout = connect_timeout;
    options.timeout = free_results_timeout;
    options.lane = net::call_lane::stage_frees;
    // The runner expires results that could not be freed.
    make_call(http_client_, effect.address,
              {"POST", std::string(platform::stage_free_target),
               platform::encode_handles(effect.handles), effect.runner_id,
               max_answer_bytes},
              options,
              [this, call = effect.call,
               runner = effect.runner_id](net::call_result const& result)
              {
                  read_head(runner, result.head);
                  reduce(model::stage_results_freed{call});
              });
}

} // namespace buckthornvale::gateway
