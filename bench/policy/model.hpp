#ifndef BUCKTHORNVALE_BENCH_POLICY_MODEL_HPP
#define BUCKTHORNVALE_BENCH_POLICY_MODEL_HPP

#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/core/rank.hpp>
#include <buckthornvale/decision/core/settings_model.hpp>
#include <buckthornvale/decision/core/time.hpp>

#include <array>
#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace buckthornvale::bench
{

using decision::duration;
using decision::rank;
using decision::rank_count;
using decision::time_point;

//! One kind of stage; costs are reported by it.
enum class stage_kind
{
    encode,
    rerank,
    generate,
    plain
};
constexpr std::size_t stage_kind_count = 4;

struct stage_model
{
    stage_kind kind = stage_kind::plain;
    std::size_t pool = 0;
    double work = 0.0; //!< expected, in slot seconds at the mean speed
};

//! Each rank has one pipeline.
struct pipeline_model
{
    std::vector<stage_model> stages;
    double deadline = 0.0; //!< seconds
};

struct pool_model
{
    std::string name;
    std::size_t runners = 0;
    double slots = 1.0; //!< per runner
};

//! Shape of one deployment. Pool 0 holds the language model runners.
struct deployment
{
    std::string name;
    std::size_t vms = 7;
    std::vector<pool_model> pools;
    std::array<pipeline_model, rank_count> pipelines;
    decision::rank_table ranks;

    double slots(std::size_t pool) const;
    //! Expected slot seconds that a request of a rank takes from a pool.
    double work(rank r, std::size_t pool) const;
    double total_work(rank r) const;
};

deployment make_deployment(std::string name, std::size_t model_runners,
                           std::size_t vms);

//! A queued or running stage on a runner.
struct job
{
    std::size_t request = 0;
    rank work_rank = rank::standard;
};

//! A runner with slots, a fixed speed and a queue.
struct runner_model
{
    std::size_t pool = 0;
    std::size_t failure_domain = 0;
    double slots = 1.0;
    double speed = 1.0;
    bool live = true;
    std::size_t running = 0;
    std::array<std::deque<job>, rank_count> queues;

    std::size_t waiting() const;
};

//! Runners of a pool with speeds spread over `spread` to one, mean speed 1.
std::vector<runner_model> make_runners(deployment const& shape, double spread);

//! Seam for the router class: chooses the runner of one stage.
class runner_chooser
{
public:
    virtual ~runner_chooser() = default;
    virtual std::size_t choose(std::vector<runner_model> const& runners,
                               std::size_t pool) = 0;
};

//! Least outstanding work for its speed, with exact knowledge of both.
class least_loaded : public runner_chooser
{
public:
    std::size_t choose(std::vector<runner_model> const& runners,
                       std::size_t pool) override;
};

} // namespace buckthornvale::bench

#endif
