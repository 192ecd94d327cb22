//! A request crashes the runners that run it, and is blocked after the third
//! crash. Then the VMs are stopped and started in turn. It must reach runners
//! in three more retries at most.

#include "lab.hpp"

#include <csignal>
#include <cstdio>

namespace
{

using namespace lab;

constexpr int contact_ms = 3000;
constexpr int runner_count = 4;
constexpr int down_ms = 1000;
constexpr int poison_interval_ms = 1500;
constexpr int poison_per_phase = 4;

//! Runners that end when they begin the request with this body.
constexpr char const* poison_body = "{\"sheet\":\"poison\"}";

class service
{
public:
    explicit service(store& platform) : platform_(platform) {}

    void add(int n)
    {
        runners_.push_back(std::make_unique<runner>(
            "i-" + std::to_string(n) + "-1", "sheets", 6,
            [this, n](runner& self, channel& to, message const& request)
            { serve(self, to, request, n); }));
        auto const& it = *runners_.back();
        platform_.put("servers", it.id(), it.entry("ready"));
    }

    std::atomic<int> crashes{0};
    std::atomic<std::int64_t> third_crash_at{-1};
    std::atomic<int> retries{0};

private:
    void serve(runner& self, channel& to, message const& request, int n)
    {
        if (request.body != poison_body)
        {
            to.write(sealed_answer(self, request, "sheet"));
            return;
        }
        auto const at = now_ms();
        int const count = ++crashes;
        if (count == 3)
            third_crash_at = at;
        bool const late =
            third_crash_at >= 0 && at - third_crash_at > contact_ms;
        retries += late ? 1 : 0;
        note("request " + request.header("x-request-id") + " crashes " +
             self.id() + ", crash " + std::to_string(count) +
             (late ? ", retry " + std::to_string(retries) : ""));
        auto const old_id = self.id();
        self.end(true);
        to.close_with_reset();
        std::thread(
            [this, &self, old_id, n, count]
            {
                sleep_ms(down_ms);
                self.start_again("i-" + std::to_string(n) + "-" +
                                 std::to_string(count + 1));
                platform_.remove("servers", old_id);
                platform_.put("servers", self.id(), self.entry("ready"));
            })
            .detach();
    }

    store& platform_;
    std::vector<std::unique_ptr<runner>> runners_;
};

} // namespace

int main()
{
    store platform;
    platform.put("config", "main",
                 manifest(1,
                          json::array({route("/sheet/", "safe", "sheets", 2)}),
                          {{{"name", "sheets"}}}, one_tenant({"key-1"})));
    service sheets(platform);
    for (int n = 1; n <= runner_count; ++n)
        sheets.add(n);

    gateway first("vm-1", platform.port());
    gateway second("vm-2", platform.port());
    std::vector<gateway*> const vms = {&first, &second};
    for (auto* it : vms)
        it->start(true);
    for (auto* it : vms)
        it->wait_ready();
    sleep_ms(3000);

    std::atomic<bool> running{true};
    std::atomic<int> served{0};
    std::vector<std::thread> consumers;
    for (std::size_t n = 0; n < vms.size(); ++n)
        consumers.emplace_back(
            [&, n]
            {
                for (int i = 0; running; ++i)
                {
                    request it;
                    it.path = "/sheet/today";
                    it.id = "s" + std::to_string(n) + "-" + std::to_string(i);
                    it.body = "{\"sheet\":" + std::to_string(i) + "}";
                    auto const answer = send(vms[n]->port(), it);
                    served += answer && answer->status() == 200 ? 1 : 0;
                    sleep_ms(50);
                }
            });
    std::atomic<int> next_poison{0};
    auto const send_poison = [&](gateway& to)
    {
        for (int n = 0; n < poison_per_phase; ++n)
        {
            request it;
            it.path = "/sheet/today";
            it.id = "p" + std::to_string(next_poison++);
            it.body = poison_body;
            auto const answer = send(to.port(), it);
            note("consumer of " + it.id + " gets " +
                 (answer ? answer->first_line : "a closed channel"));
            sleep_ms(poison_interval_ms);
        }
    };

    send_poison(first);
    send_poison(second);
    for (auto* it : vms)
    {
        if (with_trouble())
        {
            note("SIGTERM of a VM, and its start");
            it->send_signal(SIGTERM);
            it->wait_end(9000);
            it->start(false);
            it->wait_ready();
        }
        // It is in touch again.
        sleep_ms(contact_ms + 500);
        send_poison(*it);
    }
    running = false;
    for (auto& it : consumers)
        it.join();
    for (auto* it : vms)
        it->send_signal(SIGTERM);
    for (auto* it : vms)
        it->wait_end(9000);
    note("served: " + std::to_string(served) +
         "; crashes: " + std::to_string(sheets.crashes) +
         "; retries later than " + std::to_string(contact_ms) +
         " ms after the third crash: " + std::to_string(sheets.retries));
    std::printf("%d crashes, %d retries of it after the third\n",
                sheets.crashes.load(), sheets.retries.load());
    if (served < 100)
        give_up("too few requests were served");
    finish(sheets.retries > 3);
}
