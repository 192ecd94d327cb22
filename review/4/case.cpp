//! The store loses one answer, to the call with which the gateway watches the
//! runners, and the channel returns nothing further. Once the VM is in touch
//! again, a runner that leaves must get no request later than the drain
//! timeout.

#include "lab.hpp"

#include <csignal>
#include <cstdio>

namespace
{

using namespace lab;

constexpr int contact_ms = 3000;
constexpr int drain_timeout_ms = 2000;
constexpr int work_ms = 60;

//! From the loss of the answer.
constexpr int draining_after_ms = contact_ms + 500;
//! A runner serves for the drain timeout and a little longer.
constexpr int leaves_after_ms = draining_after_ms + drain_timeout_ms + 1500;
constexpr int end_after_ms = leaves_after_ms + 1500;

constexpr int consumers = 6;
constexpr int pause_ms = 40;

} // namespace

int main()
{
    std::atomic<std::int64_t> acknowledged_at{-1};
    std::atomic<int> late{0};
    std::atomic<std::int64_t> latest{0};
    std::atomic<int> failed{0};
    std::atomic<int> served{0};
    auto const work = [&](runner& self, channel& to, message const& request)
    {
        auto const at = now_ms();
        auto const since = at - acknowledged_at;
        if (self.leaving && since > drain_timeout_ms)
        {
            ++late;
            latest = std::max<std::int64_t>(latest, since);
            note("request " + request.header("x-request-id") + " reaches " +
                 self.id() + " " + std::to_string(since) +
                 " ms after the ack of its leaving");
        }
        sleep_ms(work_ms);
        to.write(sealed_answer(self, request, "booked", self.leaving));
    };
    std::vector<std::unique_ptr<runner>> runners;
    for (int n = 1; n <= 3; ++n)
        runners.push_back(std::make_unique<runner>(
            "i-book-" + std::to_string(n), "bookings", 6, work));

    store platform;
    platform.put(
        "config", "main",
        manifest(1, json::array({route("/book/", "unsafe", "bookings", 1)}),
                 {{{"name", "bookings"}}}, one_tenant({"key-1"})));
    for (auto const& it : runners)
        platform.put("servers", it->id(), it->entry("ready"));

    gateway vm("vm-1", platform.port());
    vm.start(true);
    vm.wait_ready();

    std::atomic<bool> running{true};
    std::atomic<int> next_id{0};
    std::vector<std::thread> threads;
    for (int n = 0; n < consumers; ++n)
        threads.emplace_back(
            [&]
            {
                std::shared_ptr<channel> kept;
                while (running)
                {
                    request it;
                    it.path = "/book/visit";
                    it.id = "b" + std::to_string(next_id++);
                    auto const answer = send_on(kept, vm.port(), it);
                    if (answer && answer->status() == 200)
                        ++served;
                    else
                    {
                        ++failed;
                        note("consumer of " + it.id + " gets " +
                             (answer ? answer->first_line + " " + answer->body
                                     : "a closed channel"));
                    }
                    sleep_ms(pause_ms);
                }
            });

    // The VM repeats its watch after some seconds.
    if (platform.wait_for_new_watch("servers", 15000) < 0)
        give_up("no watch of the runners was seen");
    sleep_ms(100);
    auto const lost_at = now_ms();
    auto const lost = with_trouble() ? platform.silence_watches("servers") : 0;
    auto changed = runners.back()->entry("ready");
    changed["coldRemainingMs"] = 100;
    platform.put("servers", runners.back()->id(), changed);
    note("the entry of " + runners.back()->id() +
         " changes; answers lost: " + std::to_string(lost));
    auto& leaving = *runners.front();
    sleep_until_ms(lost_at + draining_after_ms);
    platform.put("servers", leaving.id(), leaving.entry("draining"));
    acknowledged_at = now_ms();
    leaving.leaving = true;
    note("the store acknowledges that " + leaving.id() + " is draining");
    sleep_until_ms(lost_at + leaves_after_ms);
    note(leaving.id() + " exits");
    leaving.end(false);
    platform.remove("servers", leaving.id());
    sleep_until_ms(lost_at + end_after_ms);
    running = false;
    for (auto& it : threads)
        it.join();
    vm.send_signal(SIGTERM);
    vm.wait_end(9000);
    note("served: " + std::to_string(served) +
         "; without success: " + std::to_string(failed) +
         "; reached the runner too late: " + std::to_string(late) +
         ", at most " + std::to_string(latest) + " ms after the ack");
    std::printf("%d requests reached the leaving runner later than %d ms after "
                "the ack, the last one %d ms after it\n",
                late.load(), drain_timeout_ms, int(latest));
    if (served < 100)
        give_up("too few requests were served");
    finish(late > 0);
}
