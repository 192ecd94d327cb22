#include "common/engine.hpp"

#include <buckthornvale/documents/json_text.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace buckthornvale::standins
{

using documents::write_json;
using httplib::Request;
using httplib::Response;
using nlohmann::json;

namespace
{

constexpr char json_type[] = "application/json";

std::string encode_event(char const* name, json const& data)
{
    return absl::StrCat("event: ", name, "\ndata: ", write_json(data), "\n\n");
}

} // namespace

engine::engine(standin_settings settings, engine_settings const& own)
    : standin_server(std::move(settings)), own_(own), cache_(own.cache_blocks)
{
    for (auto const& it : own.models)
        store_.load_model(it);
    for (auto const& it : own.adapters)
        store_.load_adapter(it);
    post("/v1/run", [this](Request const& request, Response& response)
         { run(request, response); });
    post("/v1/cancel",
         [this](Request const& request, Response& response)
         {
             auto const body = json::parse(request.body, nullptr, false);
             if (body.is_object())
                 cancel(body.value("attempt_id", ""));
             response.set_content("{}", json_type);
         });
    post("/v1/orders", [this](Request const& request, Response& response)
         { order(request, response); });
    get("/v1/load", [this](Request const&, Response& response)
        { response.set_content(load_json(), json_type); });
    get("/v1/cache_events",
        [this](Request const& request, Response& response)
        {
            std::uint64_t from = 0;
            if (!absl::SimpleAtoi(request.get_param_value("from"), &from))
                from = 0;
            response.set_content(cache_.events_json(from), json_type);
        });
    get("/orders", [this](Request const&, Response& response)
        { response.set_content(store_.orders_json(), json_type); });
}

engine::~engine()
{
    stop();
}

bool engine::prepare(admitted const& mine)
{
    auto const& given = mine.given;
    auto cold_starts = 0;
    if (!given.model.empty() && store_.load_model(given.model))
        ++cold_starts;
    if (!given.adapter.empty() && store_.load_adapter(given.adapter))
        ++cold_starts;
    auto const blocks = prefix_blocks(given.input);
    auto const hits = cache_.use(
        blocks, std::chrono::milliseconds(mine.active.cache_event_delay_ms),
        mine.active.cache_event_gap);
    auto const work = settings_.work_ms +
                      own_.cold_start_ms * static_cast<double>(cold_starts) +
                      own_.block_ms * static_cast<double>(blocks.size() - hits);
    return pause(work / settings_.speed + mine.active.delay_ms,
                 mine.cancelled.get());
}

void engine::run(Request const& request, Response& response)
{
    auto const mine = admit(request, response);
    if (!mine)
        return;
    auto const prepared = prepare(*mine);
    if (!prepared)
        return drop();
    if (!finish(mine->active, response))
        return;
    if (mine->given.stream)
        stream(mine, response);
    else
        answer(*mine, settings_.name, response);
}

bool engine::write_token(admitted const& mine, call const& told,
                         std::uint64_t index, httplib::DataSink& sink)
{
    auto const delay =
        own_.token_ms / settings_.speed + mine.active.token_delay_ms;
    if (!pause(delay, mine.cancelled.get()) || !wait_while_frozen())
        return false;
    ++tokens_;
    if (mine.active.skip_index != 0 && index == mine.active.skip_index)
        return true;
    auto const text =
        encode_event("token", {{"attempt_id", told.attempt_id},
                               {"index", index},
                               {"text", token_text(told.input, index)}});
    return sink.write(text.data(), text.size());
}

void engine::stream(std::shared_ptr<admitted> const& mine, Response& response)
{
    auto told = mine->given;
    if (mine->active.cross)
        told = crossing_.swap(
            told, std::chrono::milliseconds(mine->active.cross_wait_ms));
    auto const count = token_count(told.input);
    auto const write = [this, mine, told, count, index = told.resume_from,
                        written = std::uint64_t{0}](
                           std::size_t, httplib::DataSink& sink) mutable
    {
        auto const broken = mine->active.break_after;
        if (broken != 0 && written == broken)
        {
            drop();
            return false;
        }
        if (index < count)
        {
            if (write_token(*mine, told, index, sink))
            {
                ++index;
                ++written;
                return true;
            }
            drop();
            return false;
        }
        auto const text = encode_event(
            "end", {{"attempt_id", told.attempt_id}, {"count", count}});
        sink.write(text.data(), text.size());
        sink.done();
        return true;
    };
    response.set_chunked_content_provider("text/event-stream", write);
}

void engine::order(Request const& request, Response& response)
{
    auto const checks = !faults_.get().ignore_fencing;
    auto const verdict = store_.execute(request.body, checks);
    if (verdict == model_store::verdict::stale)
        response.status = 409;
    if (verdict == model_store::verdict::malformed)
        response.status = 400;
    response.set_content(write_json({{"fencing", store_.highest_fencing()}}),
                         json_type);
}

void engine::take_snapshot(std::chrono::steady_clock::time_point now)
{
    auto const elapsed =
        std::chrono::duration<double>(now - snapshot_.taken_at).count();
    auto const tokens = tokens_.load();
    snapshot_.tokens_per_s =
        snapshot_.sequence == 0 || elapsed <= 0.
            ? 0.
            : static_cast<double>(tokens - snapshot_tokens_) / elapsed;
    snapshot_tokens_ = tokens;
    snapshot_.taken_at = now;
    ++snapshot_.sequence;
    snapshot_.running = running();
    snapshot_.queued = queued();
}

std::string engine::load_json()
{
    std::lock_guard lock(load_mutex_);
    auto const active = faults_.get();
    auto const now = std::chrono::steady_clock::now();
    auto const lag = std::chrono::milliseconds(active.load_lag_ms);
    if (snapshot_.sequence == 0 || now - snapshot_.taken_at >= lag)
        take_snapshot(now);
    auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - snapshot_.taken_at);
    return write_json({{"sequence", snapshot_.sequence},
                       {"age_ms", age.count()},
                       {"running", snapshot_.running},
                       {"queued", snapshot_.queued},
                       {"slots", slots_.slots()},
                       {"tokens_per_s", snapshot_.tokens_per_s},
                       {"models", store_.models()},
                       {"adapters", store_.adapters()},
                       {"leaving", active.leaving}});
}

} // namespace buckthornvale::standins
