#include "workload.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace buckthornvale::bench
{

namespace
{

constexpr std::uint64_t adapters = 40;
constexpr std::size_t system_blocks = 24;
constexpr std::size_t conversation_blocks = 24;
//! Conversations at once per runner.
constexpr std::size_t conversations_per_runner = 24;
constexpr double work_sigma = 0.6;

std::uint64_t mixed(std::uint64_t value)
{
    value *= 0x9e3779b97f4a7c15ULL;
    return value ^ (value >> 29U);
}

//! Organisation of a conversation: the square puts most on the few first.
std::uint64_t organisation_of(std::uint64_t conversation, std::size_t all)
{
    double const share = double(conversation) / double(all);
    return static_cast<std::uint64_t>(share * share * double(adapters));
}

void fill_blocks(job& it, std::uint64_t conversation, std::uint64_t owner)
{
    for (std::size_t i = 0; i < system_blocks; ++i)
        it.blocks.push_back(mixed((owner + 1) << 20U | i));
    for (std::size_t i = 0; i < conversation_blocks; ++i)
        it.blocks.push_back(mixed((conversation + 1) << 40U | i));
}

} // namespace

std::vector<job> make_jobs(shape const& of, double total_speed)
{
    pcg32 random(of.seed);
    double const rate = of.utilisation * total_speed / mean_work_s;
    std::exponential_distribution<double> gap(rate);
    double const mu = std::log(mean_work_s) - work_sigma * work_sigma / 2.;
    std::lognormal_distribution<double> work(mu, work_sigma);
    std::vector<job> jobs(of.requests);
    double now = 1.;
    auto const conversations = conversations_per_runner * of.runners;
    for (auto& it : jobs)
    {
        now += gap(random);
        it.arrival = decision::time_point(decision::from_seconds(now));
        it.vm = random(static_cast<std::uint32_t>(of.vms));
        it.work = work(random);
        std::uint64_t const conversation =
            random(static_cast<std::uint32_t>(conversations));
        auto const owner = organisation_of(conversation, conversations);
        it.adapter = owner + 1;
        fill_blocks(it, conversation, owner);
    }
    return jobs;
}

} // namespace buckthornvale::bench
