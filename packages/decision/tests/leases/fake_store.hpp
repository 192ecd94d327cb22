#ifndef BUCKTHORNVALE_DECISION_TESTS_LEASES_FAKE_STORE_HPP
#define BUCKTHORNVALE_DECISION_TESTS_LEASES_FAKE_STORE_HPP

#include <buckthornvale/decision/leases/lease_keeper.hpp>

#include <cstddef>
#include <variant>
#include <vector>

namespace buckthornvale::decision::leases
{

//! Simulates, in virtual time, one lease object with conditional writes and the
//! VMs that compete for it.
struct fake_store
{
    explicit fake_store(std::size_t n) : paused(n, false)
    {
        for (std::size_t i = 0; i < n; ++i)
            vms.emplace_back(pool_id{1}, vm_id{i + 1}, i + 100, i);
    }

    lease_answer apply(lease_effect const& effect)
    {
        if (auto const* const read = std::get_if<read_lease>(&effect))
        {
            auto const status =
                version == 0 ? lease_status::absent : lease_status::ok;
            return {read->call, status, version, value};
        }
        auto const& write = std::get<write_lease>(effect);
        if (write.expected_version != version)
            return {write.call, lease_status::conflict, version, value};
        version += 3; // writes to other objects also raise the store's revision
        value = write.value;
        return {write.call, lease_status::ok, version, value};
    }

    void run(duration length)
    {
        auto const end = now + length;
        for (; now < end; now += std::chrono::milliseconds(100))
        {
            for (std::size_t i = 0; i < vms.size(); ++i)
                step(i);
        }
    }

    void step(std::size_t i)
    {
        if (paused[i])
            return;
        std::vector<lease_effect> effects;
        vms[i].tick(now, effects);
        for (auto const& it : effects)
        {
            if (outage)
                continue;
            auto const answer = apply(it);
            bool const lost =
                lose_next_answer && std::holds_alternative<write_lease>(it);
            if (lost)
                lose_next_answer = false;
            else
                vms[i].handle_answer(answer, now);
        }
    }

    std::vector<lease_keeper> vms;
    std::vector<bool> paused;
    std::uint64_t version = 0;
    lease_value value;
    bool lose_next_answer = false;
    bool outage = false;
    time_point now{std::chrono::seconds(1000)};
};

} // namespace buckthornvale::decision::leases

#endif
