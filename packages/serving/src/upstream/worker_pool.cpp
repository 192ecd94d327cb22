#include <buckthornvale/serving/upstream/worker_pool.hpp>

namespace buckthornvale::serving::upstream
{

worker_pool::worker_pool(std::size_t max_threads, std::size_t max_queued)
    : max_threads_(max_threads), max_queued_(max_queued)
{
}

worker_pool::~worker_pool()
{
    stop();
}

bool worker_pool::submit(std::function<void()> task)
{
    std::lock_guard lock(mutex_);
    auto const takes_thread =
        tasks_.size() < idle_ || threads_.size() < max_threads_;
    if (stopped_ || (!takes_thread && tasks_.size() >= max_queued_ + idle_))
        return false;
    tasks_.push_back(std::move(task));
    if (tasks_.size() > idle_ && threads_.size() < max_threads_)
        threads_.emplace_back([this] { work(); });
    changed_.notify_one();
    return true;
}

void worker_pool::stop()
{
    {
        std::lock_guard lock(mutex_);
        stopped_ = true;
    }
    changed_.notify_all();
    for (auto& it : threads_)
    {
        if (it.joinable())
            it.join();
    }
}

void worker_pool::work()
{
    std::unique_lock lock(mutex_);
    for (;;)
    {
        ++idle_;
        changed_.wait(lock, [&] { return stopped_ || !tasks_.empty(); });
        --idle_;
        if (tasks_.empty())
            return;
        auto const task = std::move(tasks_.front());
        tasks_.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace buckthornvale::serving::upstream
