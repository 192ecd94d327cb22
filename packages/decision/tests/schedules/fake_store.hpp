#ifndef BUCKTHORNVALE_TESTS_SCHEDULES_FAKE_STORE_HPP
#define BUCKTHORNVALE_TESTS_SCHEDULES_FAKE_STORE_HPP

#include "event_queue.hpp"
#include <buckthornvale/decision/bookings/booking_effects.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace buckthornvale::decision::schedules
{

//! In-memory object store with conditional updates, outages, answers that are
//! lost after the write, and writes that take effect long after the caller gave
//! up.
class fake_store
{
public:
    using answer = bookings::store_answer;
    using status = bookings::store_status;
    using reply = std::function<void(answer)>;

    struct object
    {
        std::uint64_t version = 0;
        std::string value;
    };

    explicit fake_store(event_queue& events) : events_(events) {}

    void read(std::string const& path, reply done)
    {
        if (!check_available(done))
            return;
        events_.after(events_.random_delay(1, 20), [this, path, done]
                      { respond(current(path, status::ok), done); });
    }
    void write(std::string const& path, std::uint64_t expected,
               std::string const& value, reply done)
    {
        update_object(path, expected, value, false, std::move(done));
    }
    void erase(std::string const& path, std::uint64_t expected, reply done)
    {
        update_object(path, expected, {}, true, std::move(done));
    }

    std::map<std::string, object> objects;
    std::uint64_t revision = 0;
    bool outage = false;
    double lost_answer_probability = 0.; //!< probability that an answer is lost
    double late_write_fraction =
        0.; //!< fraction of lost writes that take effect late

private:
    bool check_available(reply const& done)
    {
        if (!outage)
            return true;
        events_.after(milliseconds(1),
                      [done] {
                          done({0, status::unavailable, 0, {}});
                      });
        return false;
    }
    answer current(std::string const& path, status found_status) const
    {
        auto const it = objects.find(path);
        if (it == objects.end())
            return {0,
                    found_status == status::ok ? status::absent : found_status,
                    0,
                    {}};
        return {0, found_status, it->second.version, it->second.value};
    }
    answer apply(std::string const& path, std::uint64_t expected,
                 std::string const& value, bool remove)
    {
        auto const it = objects.find(path);
        auto const version = it == objects.end() ? 0 : it->second.version;
        if (version != expected)
            return current(path, status::conflict);
        ++revision;
        if (remove)
            objects.erase(path);
        else
            objects[path] = {revision, value};
        return {0, status::ok, revision, {}};
    }
    void update_object(std::string const& path, std::uint64_t expected,
                       std::string const& value, bool remove, reply done)
    {
        if (!check_available(done))
            return;
        if (events_.chance(lost_answer_probability * late_write_fraction))
        {
            events_.after(events_.random_delay(20, 60),
                          [done] {
                              done({0, status::unknown, 0, {}});
                          });
            events_.after(events_.random_delay(10, 3000),
                          [this, path, expected, value, remove]
                          { apply(path, expected, value, remove); });
            return;
        }
        events_.after(events_.random_delay(1, 20),
                      [this, path, expected, value, remove, done]
                      { respond(apply(path, expected, value, remove), done); });
    }
    void respond(answer value, reply const& done)
    {
        if (events_.chance(lost_answer_probability))
            value = {0, status::unknown, 0, {}};
        events_.after(events_.random_delay(1, 20),
                      [value, done] { done(value); });
    }

    event_queue& events_;
};

} // namespace buckthornvale::decision::schedules

#endif
