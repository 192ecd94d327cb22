#ifndef BUCKTHORNVALE_STANDINS_PLATFORM_FAULT_GATE_HPP
#define BUCKTHORNVALE_STANDINS_PLATFORM_FAULT_GATE_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string_view>

namespace buckthornvale::standins::platform
{

//! Kinds of calls that are counted.
enum class call_kind
{
    get,
    put,
    remove,
    list,
    watch,
    vms
};

constexpr std::size_t call_kind_count = 6;

std::string_view name_of(call_kind kind);

//! Whether a call is let through.
enum class admission
{
    pass,
    outage,
    over_budget
};

//! Calls per second that the platform sustains; 0 is no limit.
struct call_budget
{
    double reads_per_second = 0.;
    double writes_per_second = 0.;
};

//! Counts of calls, by kind and by what became of them.
struct call_counts
{
    std::array<std::uint64_t, call_kind_count> by_kind{};
    std::uint64_t refused_by_outage = 0;
    std::uint64_t refused_by_budget = 0;
    std::uint64_t lost_answers = 0;
};

//! Faults of the platform in front of its store. Thread-safe.
class fault_gate
{
public:
    using clock = std::chrono::steady_clock;

    void set_outage(bool value);

    //! An outage that leaves the list of VMs readable.
    void set_object_outage(bool value);
    void set_delay(std::chrono::milliseconds value);
    void set_budget(call_budget value);

    //! The answers of this many next writes are lost; -1 loses all.
    void set_lost_answers(std::int64_t count);

    //! Counts a call and says whether it is let through.
    admission enter(call_kind kind, clock::time_point now);

    //! True when the answer of this write, which took effect, is lost.
    bool loses_answer();

    bool is_outage() const;
    std::chrono::milliseconds delay() const;
    call_counts counts() const;

private:
    struct bucket
    {
        double tokens = 0.;
        clock::time_point filled{};

        bool take(double rate, clock::time_point now);
    };

    mutable std::mutex mutex_;
    bool is_outage_ = false;
    bool is_object_outage_ = false;
    std::chrono::milliseconds delay_{0};
    std::int64_t lost_answers_ = 0;
    call_budget budget_;
    bucket reads_;
    bucket writes_;
    call_counts counts_;
};

} // namespace buckthornvale::standins::platform

#endif
