#include "platform_server.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <sys/resource.h>
#include <sys/socket.h>

namespace buckthornvale::standins::platform
{

namespace
{

using nlohmann::json;

constexpr std::size_t largest_value = 1U << 20U; // bytes, design 1.5
constexpr std::size_t default_limit = 500;       // items of a list page
constexpr int default_watch_ms = 30'000;
// Each waiting watch holds a thread.
constexpr std::size_t threads = 256;

json to_json(stored_object const& object)
{
    return {{"path", object.path},
            {"version", object.version},
            {"value", object.value}};
}

json to_json(store_event const& event)
{
    json value = {{"kind", event.is_delete ? "delete" : "put"},
                  {"path", event.object.path},
                  {"version", event.object.version}};
    if (!event.is_delete)
        value["value"] = event.object.value;
    return value;
}

json to_json(listed_vm const& vm)
{
    return {{"id", vm.id},
            {"role", vm.role},
            {"address", vm.address},
            {"peer_address", vm.peer_address},
            {"failure_domain", vm.failure_domain},
            {"state", vm.state}};
}

listed_vm vm_from_json(json const& value)
{
    listed_vm vm;
    vm.id = value.at("id").get<std::string>();
    vm.role = value.value("role", vm.role);
    vm.address = value.value("address", "");
    vm.peer_address = value.value("peer_address", "");
    vm.failure_domain = value.value("failure_domain", "");
    vm.state = value.value("state", vm.state);
    return vm;
}

template <class Integer>
bool parse(std::string const& text, Integer& out)
{
    auto const* end = text.data() + text.size();
    auto const [stop, ec] = std::from_chars(text.data(), end, out);
    return ec == std::errc() && stop == end;
}

template <class Integer>
Integer param(httplib::Request const& request, char const* name,
              Integer fallback)
{
    auto value = fallback;
    if (request.has_param(name))
        parse(request.get_param_value(name), value);
    return value;
}

void respond(httplib::Response& response, int status, json const& body)
{
    response.status = status;
    response.set_content(
        body.dump(-1, ' ', false, json::error_handler_t::replace),
        "application/json");
}

void refuse(httplib::Response& response, int status, char const* message)
{
    respond(response, status, {{"error", message}});
}

int port_of(sockaddr_storage const& address)
{
    if (address.ss_family == AF_INET)
        return ntohs(reinterpret_cast<sockaddr_in const&>(address).sin_port);
    if (address.ss_family == AF_INET6)
        return ntohs(reinterpret_cast<sockaddr_in6 const&>(address).sin6_port);
    return -1;
}

// Shuts the connection of a request down before a byte of the response is
// written. cpp-httplib does not show a handler its socket, so that it is
// found by its two ports.
void cut_connection(httplib::Request const& request)
{
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    constexpr rlim_t most_descriptors = 65'536;
    auto const count =
        static_cast<int>(std::min<rlim_t>(limit.rlim_cur, most_descriptors));
    for (int fd = 0; fd < count; ++fd)
    {
        sockaddr_storage remote{};
        sockaddr_storage local{};
        socklen_t remote_size = sizeof remote;
        socklen_t local_size = sizeof local;
        if (getpeername(fd, reinterpret_cast<sockaddr*>(&remote),
                        &remote_size) != 0 ||
            getsockname(fd, reinterpret_cast<sockaddr*>(&local), &local_size) !=
                0)
            continue;
        if (port_of(remote) == request.remote_port &&
            port_of(local) == request.local_port)
            shutdown(fd, SHUT_RDWR);
    }
}

} // namespace

//! The handlers of one server.
class platform_server::routes
{
public:
    routes(object_store& store, fault_gate& gate, vm_list& vms)
        : store_(store), gate_(gate), vms_(vms)
    {
    }

    void install(httplib::Server& server)
    {
        using httplib::Request;
        using httplib::Response;
        auto const add = [this](call_kind kind, void (routes::*handler)(
                                                    Request const&, Response&))
        {
            return [this, kind, handler](Request const& request,
                                         Response& response)
            {
                if (enter(kind, response))
                    (this->*handler)(request, response);
            };
        };
        // A path may hold line breaks, which "." does not match.
        char const* const objects = R"(/v1/objects/([\s\S]+))";
        server.Get(objects, add(call_kind::get, &routes::get));
        server.Put(objects, add(call_kind::put, &routes::put));
        server.Delete(objects, add(call_kind::remove, &routes::remove));
        server.Get("/v1/list", add(call_kind::list, &routes::list));
        server.Get("/v1/watch", add(call_kind::watch, &routes::watch));
        server.Get("/v1/vms", add(call_kind::vms, &routes::list_vms));
        server.Post("/faults", [this](Request const& request, Response& out)
                    { set_faults(request, out); });
        server.Post("/vms", [this](Request const& request, Response& out)
                    { set_vms(request, out); });
        server.Get("/stats",
                   [this](Request const&, Response& out) { stats(out); });
    }

private:
    // Counts, delays and refuses as the faults say.
    bool enter(call_kind kind, httplib::Response& response)
    {
        auto const verdict = gate_.enter(kind, fault_gate::clock::now());
        std::this_thread::sleep_for(gate_.delay());
        if (verdict == admission::outage)
            refuse(response, 503, "outage");
        if (verdict == admission::over_budget)
            refuse(response, 429, "over budget");
        return verdict == admission::pass;
    }

    void get(httplib::Request const& request, httplib::Response& response)
    {
        auto const object = store_.get(request.matches[1]);
        if (!object)
            return refuse(response, 404, "no such object");
        respond(response, 200, to_json(*object));
    }

    void put(httplib::Request const& request, httplib::Response& response)
    {
        std::uint64_t expected = 0;
        if (!parse(request.get_header_value("If-Match"), expected))
            return refuse(response, 400, "If-Match is missing");
        if (request.body.size() > largest_value)
            return refuse(response, 413, "the value exceeds 1 MB");
        finish_write(request, response,
                     store_.put(request.matches[1], expected, request.body));
    }

    void remove(httplib::Request const& request, httplib::Response& response)
    {
        std::uint64_t expected = 0;
        if (!parse(request.get_header_value("If-Match"), expected))
            return refuse(response, 400, "If-Match is missing");
        finish_write(request, response,
                     store_.remove(request.matches[1], expected));
    }

    void finish_write(httplib::Request const& request,
                      httplib::Response& response, write_result const& result)
    {
        if (gate_.loses_answer())
            return cut_connection(request);
        if (result.is_done)
            return respond(response, 200, {{"version", result.version}});
        if (result.current)
        {
            return respond(response, 412,
                           {{"version", result.current->version},
                            {"value", result.current->value}});
        }
        respond(response, 412, {{"version", 0}, {"value", nullptr}});
    }

    void list(httplib::Request const& request, httplib::Response& response)
    {
        auto const limit = param(request, "limit", default_limit);
        auto const page = store_.list(request.get_param_value("prefix"),
                                      request.get_param_value("after"),
                                      std::max<std::size_t>(limit, 1));
        json body = {{"items", json::array()}, {"revision", page.revision}};
        for (auto const& it : page.items)
            body["items"].push_back(to_json(it));
        if (page.next)
            body["next"] = *page.next;
        respond(response, 200, body);
    }

    void watch(httplib::Request const& request, httplib::Response& response)
    {
        auto const from = param(request, "from", std::uint64_t{0});
        auto const timeout = param(request, "timeout_ms", default_watch_ms);
        auto const result =
            store_.watch(request.get_param_value("prefix"), from,
                         std::chrono::milliseconds(timeout));
        if (gate_.is_outage())
            return refuse(response, 503, "outage");
        if (result.is_compacted)
            return refuse(response, 410, "from is no longer kept");
        json body = {{"events", json::array()}, {"revision", result.revision}};
        for (auto const& it : result.events)
            body["events"].push_back(to_json(it));
        respond(response, 200, body);
    }

    void list_vms(httplib::Request const& /*request*/,
                  httplib::Response& response)
    {
        json body = {{"vms", json::array()}};
        for (auto const& it : vms_.list(vm_list::clock::now()))
            body["vms"].push_back(to_json(it));
        respond(response, 200, body);
    }

    void set_faults(httplib::Request const& request,
                    httplib::Response& response)
    {
        try
        {
            apply_faults(json::parse(request.body));
        }
        catch (json::exception const& error)
        {
            return refuse(response, 400, error.what());
        }
        respond(response, 200, json::object());
    }

    // Only the fields that are given change.
    void apply_faults(json const& faults)
    {
        using std::chrono::milliseconds;
        if (faults.contains("outage"))
            gate_.set_outage(faults["outage"].get<bool>());
        if (faults.contains("object_outage"))
            gate_.set_object_outage(faults["object_outage"].get<bool>());
        if (faults.contains("delay_ms"))
            gate_.set_delay(milliseconds(faults["delay_ms"].get<int>()));
        if (faults.contains("lose_answers"))
            gate_.set_lost_answers(lost_count(faults["lose_answers"]));
        if (faults.contains("list_lag_ms"))
            vms_.set_lag(milliseconds(faults["list_lag_ms"].get<int>()));
        if (faults.contains("budget"))
        {
            auto const& budget = faults["budget"];
            gate_.set_budget({budget.value("reads_per_second", 0.),
                              budget.value("writes_per_second", 0.)});
        }
        if (faults.value("compact", false))
            store_.compact();
        // An outage also ends the watches that wait.
        if (gate_.is_outage())
            store_.interrupt();
    }

    // A number of writes, or true for all until set to false.
    static std::int64_t lost_count(json const& value)
    {
        if (value.is_boolean())
            return value.get<bool>() ? -1 : 0;
        return value.get<std::int64_t>();
    }

    // One VM to add or change, or {"vms": [...]} to replace the list.
    void set_vms(httplib::Request const& request, httplib::Response& response)
    {
        try
        {
            auto const body = json::parse(request.body);
            auto const now = vm_list::clock::now();
            if (body.contains("vms"))
            {
                std::vector<listed_vm> vms;
                for (auto const& it : body["vms"])
                    vms.push_back(vm_from_json(it));
                vms_.replace(std::move(vms), now);
            }
            else
            {
                vms_.put(vm_from_json(body), now);
            }
        }
        catch (json::exception const& error)
        {
            return refuse(response, 400, error.what());
        }
        respond(response, 200, json::object());
    }

    void stats(httplib::Response& response)
    {
        auto const counts = gate_.counts();
        json calls = json::object();
        std::uint64_t total = 0;
        for (std::size_t i = 0; i < call_kind_count; ++i)
        {
            calls[std::string(name_of(static_cast<call_kind>(i)))] =
                counts.by_kind[i];
            total += counts.by_kind[i];
        }
        respond(response, 200,
                {{"calls", calls},
                 {"total", total},
                 {"refused_by_outage", counts.refused_by_outage},
                 {"refused_by_budget", counts.refused_by_budget},
                 {"lost_answers", counts.lost_answers},
                 {"revision", store_.revision()}});
    }

    object_store& store_;
    fault_gate& gate_;
    vm_list& vms_;
};

platform_server::platform_server()
    : server_(std::make_unique<httplib::Server>()),
      routes_(std::make_unique<routes>(store_, gate_, vms_))
{
    server_->new_task_queue = [] { return new httplib::ThreadPool(threads); };
    // Larger than a value, so that 413 comes from the handler.
    server_->set_payload_max_length(2 * largest_value);
    server_->set_tcp_nodelay(true);
    routes_->install(*server_);
}

platform_server::~platform_server()
{
    stop();
}

int platform_server::start(int port)
{
    auto const bound = port == 0 ? server_->bind_to_any_port("127.0.0.1")
                       : server_->bind_to_port("127.0.0.1", port) ? port
                                                                  : -1;
    if (bound <= 0)
        return 0;
    thread_ = std::thread([this] { server_->listen_after_bind(); });
    // stop() has no effect on a server that does not run yet.
    while (!server_->is_running())
        std::this_thread::yield();
    return bound;
}

void platform_server::stop()
{
    if (!thread_.joinable())
        return;
    server_->stop();
    store_.interrupt();
    thread_.join();
}

} // namespace buckthornvale::standins::platform
