#include "support/fleet.hpp"

#include "support/await.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace buckthornvale::tests
{

namespace
{

constexpr std::array<char const*, 4> failure_domains = {"north", "south",
                                                        "east", "west"};

constexpr char rank_settings[] =
    "[urgent]\ntarget_ms = 800\nguaranteed_share = 0.5\n"
    "[standard]\ntarget_ms = 2000\n"
    "[background]\ntarget_ms = 3000\n";

// SHA-256 of the bearer key "grinders-demo-key".
constexpr char organisation_settings[] =
    "key_sha256 = "
    "\"e51f1982049b0b5614bdcec3c80e31ce015d7cc9aa6f43b9b3355b31cb0f2229\"\n";

std::string stage_settings(std::string const& name, std::string const& pool,
                           std::string const& extra_settings)
{
    return "[[stages]]\nname = \"" + name + "\"\npool = \"" + pool + "\"\n" +
           extra_settings + "expected_ms = 10\n";
}

bool is_ready(vm const& target, std::size_t running)
{
    if (get(target.http_address(), "/readyz").status != 200)
        return false;
    auto const status = get(target.http_address(), "/v1/status").body;
    if (!status.is_object() || !status.contains("members"))
        return false;
    std::size_t live = 0;
    for (auto const& it : status["members"])
        live += it["role"] == "entry" && it["state"] == "live" ? 1 : 0;
    return live >= running;
}

} // namespace

fleet::fleet(std::size_t vm_count, std::size_t runners_per_pool)
{
    auto directory =
        (std::filesystem::temp_directory_path() / "system_XXXXXX").string();
    if (mkdtemp(directory.data()) == nullptr)
        throw std::runtime_error("mkdtemp failed");
    directory_ = directory;
    platform_ = std::make_unique<process>(
        std::vector<std::string>{SYSTEM_PLATFORM}, log_path("platform"));
    write_object("settings/ranks", rank_settings);
    write_object("settings/organisations/grinders/limits",
                 organisation_settings);
    add_pool("encoders", "engine", "", runners_per_pool, {"--work_ms=5"});
    add_pool("retrievers", "engine", "", 1, {"--work_ms=2"});
    add_pool("rerankers", "engine", "", 1, {"--work_ms=2"});
    add_pool("assistants", "engine", "resumes_streams = true\n",
             runners_per_pool, {"--token_ms=2"});
    add_pool("bookings", "service", "answers_outcomes = true\n",
             runners_per_pool, {"--work_ms=10"});
    std::string const deadline = "deadline_ms = 10000\n";
    auto const not_repeatable = "repeatable = false\n";
    auto const after = [](std::string const& stage_name)
    { return "after = [\"" + stage_name + "\"]\n"; };
    write_object("settings/pipelines/lookup",
                 deadline + stage_settings("encode", "encoders", ""));
    write_object("settings/pipelines/booking",
                 deadline + stage_settings("book", "bookings", not_repeatable));
    write_object("settings/pipelines/talk",
                 "deadline_ms = 600000\n" + stage_settings("generate",
                                                           "assistants",
                                                           "stream = true\n"));
    write_object("settings/pipelines/answer",
                 deadline + stage_settings("encode", "encoders", "") +
                     stage_settings("retrieve", "retrievers", after("encode")) +
                     stage_settings("rerank", "rerankers", after("retrieve")) +
                     stage_settings("generate", "assistants",
                                    after("rerank") + "stream = true\n"));
    for (std::size_t n = 0; n < vm_count; ++n)
        start_vm();
    await_ready();
}

fleet::~fleet()
{
    vms.clear();
    pools.clear();
    platform_.reset();
    // SYSTEM_KEEP_LOGS keeps the logs of the processes for debugging.
    std::error_code ec;
    if (std::getenv("SYSTEM_KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(directory_, ec);
}

std::string fleet::log_path(std::string const& name) const
{
    return directory_ + "/" + name + ".log";
}

void fleet::add_pool(std::string const& name, std::string const& kind,
                     std::string const& settings, std::size_t count,
                     std::vector<std::string> const& flags)
{
    auto& added_pool = pools[name];
    added_pool.kind = kind;
    added_pool.settings = settings;
    for (std::size_t n = 1; n <= count; ++n)
    {
        runner started;
        started.name = name + "-" + std::to_string(n);
        std::vector<std::string> arguments = {kind == "engine" ? SYSTEM_ENGINE
                                                               : SYSTEM_SERVICE,
                                              "--name=" + started.name};
        arguments.insert(arguments.end(), flags.begin(), flags.end());
        started.program =
            std::make_unique<process>(arguments, log_path(started.name));
        added_pool.runners.push_back(std::move(started));
    }
    write_pool_settings(name);
}

vm& fleet::start_vm()
{
    vm started;
    started.name = "vm-" + std::to_string(next_vm_);
    started.failure_domain =
        failure_domains[next_vm_++ % failure_domains.size()];
    auto const file = directory_ + "/" + started.name + ".toml";
    std::ofstream(file) << "vm = \"" << started.name
                        << "\"\nfailure_domain = \"" << started.failure_domain
                        << "\"\nregion = \"test\"\n"
                        << "[platform]\naddress = \"" << platform_address()
                        << "\"\n[shutdown]\nnotice_ms = 300\n";
    started.program = std::make_unique<process>(
        std::vector<std::string>{SYSTEM_DAEMON, "--config=" + file},
        log_path(started.name));
    publish_vm_state(started, "live");
    vms.push_back(std::move(started));
    return vms.back();
}

void fleet::publish_vm_state(vm const& target, std::string const& state)
{
    post(platform_address(), "/vms",
         {{"id", target.name},
          {"role", "entry"},
          {"address", target.http_address()},
          {"peer_address", target.program->address_after("peer")},
          {"failure_domain", target.failure_domain},
          {"state", state}});
}

void fleet::await_ready()
{
    std::size_t running = 0;
    for (auto& it : vms)
        running += it.program->running() ? 1 : 0;
    for (auto& it : vms)
    {
        if (it.program->running())
            await(it.name + " to be ready",
                  [&] { return is_ready(it, running); });
    }
}

void fleet::await_peer_links()
{
    auto const messages = 6 * (vms.size() - 1);
    for (auto& it : vms)
    {
        await("messages on the peer links of " + it.name,
              [&]
              {
                  auto const status = get(it.http_address(), "/v1/status").body;
                  return status["peer_link"]["received"] >= messages;
              });
    }
}

std::uint64_t fleet::write_object(std::string const& path,
                                  std::string const& value)
{
    auto const now = get(platform_address(), "/v1/objects/" + path);
    auto const version =
        now.status == 200 ? now.body["version"].get<std::uint64_t>() : 0;
    auto const written = put_object(platform_address(), path, version, value);
    if (written.status != 200)
        throw std::runtime_error("cannot write the object " + path);
    return written.body["version"];
}

std::uint64_t fleet::write_pool_settings(std::string const& name)
{
    auto const& written = pools.at(name);
    std::ostringstream text;
    text << "kind = \"" << written.kind << "\"\n" << written.settings;
    std::size_t n = 0;
    for (auto const& it : written.runners)
    {
        auto const address = it.address();
        text << "[[runners]]\nname = \"" << it.name
             << "\"\nhost = \"127.0.0.1\"\nport = "
             << address.substr(address.rfind(':') + 1)
             << "\nfailure_domain = \""
             << failure_domains[n++ % failure_domains.size()]
             << "\"\nslots = 4\nleaving = " << (it.leaving ? "true" : "false")
             << "\n";
    }
    return write_object("settings/pools/" + name, text.str());
}

std::uint64_t fleet::settings_revision(vm const& target) const
{
    auto const status = get(target.http_address(), "/v1/status").body;
    return status.is_object()
               ? status.value("settings_revision", std::uint64_t{0})
               : 0;
}

void fleet::await_settings_revision(std::uint64_t at_least)
{
    for (auto& it : vms)
    {
        if (it.program->running())
            await("a settings revision on " + it.name,
                  [&] { return settings_revision(it) >= at_least; });
    }
}

std::string fleet::platform_address() const
{
    return platform_->address_after("listening");
}

void fleet::set_platform_faults(json const& body) const
{
    if (post(platform_address(), "/faults", body).status != 200)
        throw std::runtime_error("POST /faults failed");
}

void fleet::set_faults(runner const& target, json const& body)
{
    if (post(target.address(), "/faults", body).status != 200)
        throw std::runtime_error("POST /faults failed");
}

std::map<std::string, std::uint64_t>
fleet::executions(std::string const& pool_name, char const* member) const
{
    std::map<std::string, std::uint64_t> sum;
    for (auto const& it : pools.at(pool_name).runners)
    {
        if (!it.program->running())
            continue;
        auto const counts = get(it.address(), "/executions");
        if (counts.status != 200)
            throw std::runtime_error("GET /executions failed");
        for (auto const& [id, n] : counts.body.at(member).items())
            sum[id] += n.get<std::uint64_t>();
    }
    return sum;
}

std::uint64_t fleet::total_executions(runner const& target)
{
    return get(target.address(), "/executions").body.at("total");
}

json booking::body() const
{
    return {{"idempotency_key", key},
            {"issued_at_ms", issued_at_ms},
            {"input", {{"round", key}}}};
}

booking make_booking(std::string const& key)
{
    using namespace std::chrono;
    auto const now = system_clock::now().time_since_epoch();
    return {key, duration_cast<milliseconds>(now).count()};
}

void run_concurrently(std::size_t threads, std::size_t count,
                      std::function<void(std::size_t)> const& action)
{
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> callers;
    for (std::size_t n = 0; n < threads; ++n)
    {
        callers.emplace_back(
            [&]
            {
                for (auto i = next++; i < count; i = next++)
                    action(i);
            });
    }
    for (auto& it : callers)
        it.join();
}

} // namespace buckthornvale::tests
