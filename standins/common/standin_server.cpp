#include "common/standin_server.hpp"

#include <buckthornvale/documents/json_text.hpp>

#include <cstdlib>
#include <sys/socket.h>

namespace buckthornvale::standins
{

using httplib::Request;
using httplib::Response;

namespace
{

constexpr char json_type[] = "application/json";
constexpr std::size_t max_input_bytes = std::size_t{16} * 1024 * 1024;
constexpr int exit_status = 3;

server_limits limits_of_standin()
{
    server_limits limits;
    limits.connection.max_body_bytes = max_input_bytes;
    limits.threads = 256;
    limits.max_queued_connections = 1024;
    return limits;
}

} // namespace

standin_server::standin_server(standin_settings settings)
    : settings_(std::move(settings)), slots_(settings_.slots),
      server_(limits_of_standin())
{
    server_.Post("/faults", [this](Request const& request, Response& response)
                 { serve_faults(request, response); });
    server_.Get("/executions", [this](Request const&, Response& response)
                { response.set_content(executions_.to_json(), json_type); });
}

standin_server::~standin_server()
{
    stop();
}

bool standin_server::start()
{
    auto const& host = settings_.address;
    auto const bound =
        settings_.port == 0
            ? server_.bind_to_any_port(host)
            : (server_.bind_to_port(host, settings_.port) ? settings_.port
                                                          : -1);
    if (bound <= 0)
        return false;
    port_ = static_cast<std::uint16_t>(bound);
    server_.raise_backlog();
    listener_ = std::thread([this] { server_.listen_after_bind(); });
    return true;
}

void standin_server::wait()
{
    if (listener_.joinable())
        listener_.join();
}

void standin_server::stop()
{
    stopping_ = true;
    {
        std::lock_guard lock(mutex_);
        for (auto const& it : in_flight_)
        {
            if (auto const flag = it.second.lock())
                *flag = true;
        }
    }
    changed_.notify_all();
    slots_.wake();
    if (listener_.joinable())
        server_.stop_accepting();
    wait();
}

void standin_server::set_faults(faults const& value)
{
    {
        std::lock_guard lock(mutex_);
        faults_.set(value);
    }
    changed_.notify_all();
}

void standin_server::serve_faults(Request const& request, Response& response)
{
    try
    {
        set_faults(parse_faults(request.body));
        response.set_content("{}", json_type);
    }
    catch (nlohmann::json::exception const& error)
    {
        response.status = 400;
        response.set_content(documents::write_json({{"error", error.what()}}),
                             json_type);
    }
}

void standin_server::get(std::string const& pattern, handler const& action)
{
    server_.Get(pattern,
                [this, action](Request const& request, Response& response)
                { wait_while_frozen() ? action(request, response) : drop(); });
}

void standin_server::post(std::string const& pattern, handler const& action)
{
    server_.Post(pattern,
                 [this, action](Request const& request, Response& response)
                 { wait_while_frozen() ? action(request, response) : drop(); });
}

bool standin_server::wait_while_frozen()
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return stopping_ || !faults_.get().freeze; });
    return !stopping_;
}

bool standin_server::pause(double milliseconds,
                           std::atomic<bool> const* cancelled)
{
    auto const given_up = [&]
    { return stopping_ || (cancelled != nullptr && *cancelled); };
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock,
                      std::chrono::duration<double, std::milli>(milliseconds),
                      given_up);
    return !given_up();
}

void standin_server::drop()
{
    connection_server::current()->abandon();
}

std::shared_ptr<std::atomic<bool>>
standin_server::track(std::string const& attempt_id)
{
    auto flag = std::make_shared<std::atomic<bool>>(false);
    std::lock_guard lock(mutex_);
    for (auto it = in_flight_.begin(); it != in_flight_.end();)
        it = it->second.expired() ? in_flight_.erase(it) : std::next(it);
    in_flight_[attempt_id] = flag;
    return flag;
}

void standin_server::cancel(std::string const& attempt_id)
{
    executions_.add_cancel();
    {
        std::lock_guard lock(mutex_);
        auto const it = in_flight_.find(attempt_id);
        if (it == in_flight_.end())
            return;
        if (auto const flag = it->second.lock())
            *flag = true;
    }
    changed_.notify_all();
    slots_.wake();
}

std::shared_ptr<standin_server::admitted>
standin_server::admit(Request const& request, Response& response)
{
    auto const refuse = [&](int status, char const* body)
    {
        response.status = status;
        response.set_content(body, json_type);
        return nullptr;
    };
    auto const parsed = parse_call(request.body);
    if (!parsed)
        return refuse(400, R"({"error":"malformed call"})");
    auto mine = std::make_shared<admitted>();
    mine->given = *parsed;
    mine->active = faults_.for_call();
    mine->cancelled = track(parsed->attempt_id);
    if (mine->active.refuse)
        return refuse(503, R"({"started":false})");
    if (mine->active.drop_before)
    {
        drop();
        return nullptr;
    }
    auto const gave_up = [&] { return stopping_ || *mine->cancelled; };
    if (!slots_.acquire(mine->given.priority, gave_up))
        return refuse(503, R"({"started":false})");
    mine->slot =
        std::shared_ptr<void>(&slots_, [](void* slots)
                              { static_cast<slot_queue*>(slots)->release(); });
    executions_.add(parsed->request_id, parsed->attempt_id,
                    parsed->idempotency_key);
    auto const& marker = mine->active.exit_marker;
    if (!marker.empty() && parsed->input.find(marker) != std::string::npos)
    {
        if (!settings_.on_exit)
            std::_Exit(exit_status);
        settings_.on_exit();
        drop();
        return nullptr;
    }
    return mine;
}

bool standin_server::finish(faults const& active, Response& response)
{
    if (active.drop_after)
    {
        drop();
        return false;
    }
    if (active.error_status != 0)
    {
        response.status = active.error_status;
        response.set_content(R"({"error":"set by POST /faults"})", json_type);
        return false;
    }
    if (active.bad_answer)
    {
        response.set_content("{}", json_type);
        return false;
    }
    return true;
}

void standin_server::answer(admitted const& mine, std::string const& runner,
                            Response& response)
{
    auto told = mine.given;
    if (mine.active.cross)
        told = crossing_.swap(
            told, std::chrono::milliseconds(mine.active.cross_wait_ms));
    auto body = documents::write_json({{"attempt_id", told.attempt_id}});
    documents::append_raw_member(
        body, "output", make_output(told, runner, mine.active.pad_bytes));
    response.set_content(body, json_type);
}

} // namespace buckthornvale::standins
