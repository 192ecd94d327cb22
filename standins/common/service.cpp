#include "common/service.hpp"

#include <buckthornvale/documents/json_text.hpp>

namespace buckthornvale::standins
{

using documents::write_json;
using httplib::Request;
using httplib::Response;
using nlohmann::json;

namespace
{

constexpr char json_type[] = "application/json";

} // namespace

service::service(standin_settings settings, bool answers_outcomes)
    : standin_server(std::move(settings)), answers_outcomes_(answers_outcomes)
{
    post("/v1/call", [this](Request const& request, Response& response)
         { run(request, response); });
    post("/v1/cancel",
         [this](Request const& request, Response& response)
         {
             auto const body = json::parse(request.body, nullptr, false);
             if (body.is_object())
                 cancel(body.value("attempt_id", ""));
             response.set_content("{}", json_type);
         });
    get("/v1/load", [this](Request const&, Response& response)
        { response.set_content(load_json(), json_type); });
    get("/v1/outcome", [this](Request const& request, Response& response)
        { outcome(request, response); });
}

service::~service()
{
    stop();
}

void service::record(std::string const& key, std::string output)
{
    if (key.empty())
        return;
    std::lock_guard lock(outcomes_mutex_);
    outcomes_[key] = std::move(output);
}

void service::run(Request const& request, Response& response)
{
    auto const mine = admit(request, response);
    if (!mine)
        return;
    // The body of a call to a plain service has no stage.
    mine->given.stage = settings_.name;
    auto const& key = mine->given.idempotency_key;
    record(key, "");
    auto const work = settings_.work_ms / settings_.speed;
    // What a plain service has begun it carries through, also when the call
    // was cancelled.
    pause(work + mine->active.delay_ms, nullptr);
    record(key, make_output(mine->given, settings_.name, 0));
    if (finish(mine->active, response))
        answer(*mine, settings_.name, response);
}

void service::outcome(Request const& request, Response& response)
{
    if (!answers_outcomes_)
    {
        response.status = 404;
        return;
    }
    std::lock_guard lock(outcomes_mutex_);
    auto const it = outcomes_.find(request.get_param_value("key"));
    auto const state = it == outcomes_.end()
                           ? "not_seen"
                           : (it->second.empty() ? "running" : "completed");
    auto body = write_json({{"state", state}});
    if (it != outcomes_.end() && !it->second.empty())
        documents::append_raw_member(body, "output", it->second);
    response.set_content(body, json_type);
}

std::string service::load_json()
{
    return write_json({{"sequence", ++load_sequence_},
                       {"age_ms", 0},
                       {"running", running()},
                       {"queued", queued()},
                       {"slots", slots_.slots()},
                       {"tokens_per_s", 0},
                       {"models", json::array()},
                       {"adapters", json::array()},
                       {"leaving", faults_.get().leaving}});
}

} // namespace buckthornvale::standins
