#ifndef BUCKTHORNVALE_STANDINS_COMMON_ENGINE_HPP
#define BUCKTHORNVALE_STANDINS_COMMON_ENGINE_HPP

#include "common/model_store.hpp"
#include "common/prefix_cache.hpp"
#include "common/standin_server.hpp"

namespace buckthornvale::standins
{

//! Settings of an engine beside those of every stand-in.
struct engine_settings
{
    std::uint32_t token_ms = 0;      //!< time per token at speed 1
    std::uint32_t block_ms = 0;      //!< time per uncached prompt block
    std::uint32_t cold_start_ms = 0; //!< time to load a model or adapter
    std::size_t cache_blocks = 256;
    std::vector<std::string> models; //!< loaded at the start
    std::vector<std::string> adapters;
};

//! Stand-in for a model engine (design 4.3). Beside the documented endpoints:
//! GET /orders tells the orders that it took and refused.
class engine : public standin_server
{
public:
    engine(standin_settings settings, engine_settings const& own);
    ~engine() override;

    model_store const& store() const { return store_; }

private:
    void run(httplib::Request const&, httplib::Response&);
    bool prepare(admitted const& mine);
    void stream(std::shared_ptr<admitted> const& mine, httplib::Response&);
    bool write_token(admitted const& mine, call const& told,
                     std::uint64_t index, httplib::DataSink&);
    void order(httplib::Request const&, httplib::Response&);
    std::string load_json();

    struct load_snapshot
    {
        std::chrono::steady_clock::time_point taken_at;
        std::uint64_t sequence = 0;
        std::size_t running = 0;
        std::size_t queued = 0;
        double tokens_per_s = 0.;
    };
    void take_snapshot(std::chrono::steady_clock::time_point now);

    engine_settings const own_;
    model_store store_;
    prefix_cache cache_;
    std::atomic<std::uint64_t> tokens_{0};
    std::mutex load_mutex_;
    load_snapshot snapshot_;
    std::uint64_t snapshot_tokens_ = 0;
};

} // namespace buckthornvale::standins

#endif
