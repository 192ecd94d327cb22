#include "allocations.hpp"

#include <atomic>
#include <cstdlib>
#include <new>

namespace
{

std::atomic<std::uint64_t> count{0};

void* allocate(std::size_t size)
{
    count.fetch_add(1, std::memory_order_relaxed);
    if (auto* const result = std::malloc(size == 0 ? 1 : size))
        return result;
    throw std::bad_alloc();
}

} // namespace

void* operator new(std::size_t size)
{
    return allocate(size);
}

void* operator new[](std::size_t size)
{
    return allocate(size);
}

void operator delete(void* memory) noexcept
{
    std::free(memory);
}

void operator delete[](void* memory) noexcept
{
    std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept
{
    std::free(memory);
}

void operator delete[](void* memory, std::size_t) noexcept
{
    std::free(memory);
}

namespace buckthornvale::bench
{

std::uint64_t allocations()
{
    return count.load(std::memory_order_relaxed);
}

} // namespace buckthornvale::bench
