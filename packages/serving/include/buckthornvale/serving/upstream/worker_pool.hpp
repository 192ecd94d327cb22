#ifndef BUCKTHORNVALE_SERVING_UPSTREAM_WORKER_POOL_HPP
#define BUCKTHORNVALE_SERVING_UPSTREAM_WORKER_POOL_HPP

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace buckthornvale::serving::upstream
{

//! Bounded number of threads with a bounded queue. Threads start on demand.
class worker_pool
{
public:
    worker_pool(std::size_t max_threads, std::size_t max_queued);
    ~worker_pool();
    worker_pool(worker_pool const&) = delete;
    worker_pool& operator=(worker_pool const&) = delete;

    //! False when the queue is full or the pool has stopped.
    bool submit(std::function<void()> task);

    //! Runs what is queued, then joins the threads.
    void stop();

private:
    void work();

    std::size_t const max_threads_;
    std::size_t const max_queued_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::function<void()>> tasks_;
    std::vector<std::thread> threads_;
    std::size_t idle_ = 0;
    bool stopped_ = false;
};

} // namespace buckthornvale::serving::upstream

#endif
