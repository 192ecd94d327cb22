#include "allocation_meter.hpp"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace buckthornvale::fuzz
{

namespace
{

thread_local bool is_counting = false;
// Signed, because memory that was allocated before the meter was constructed
// may be freed while it counts.
thread_local std::int64_t in_use = 0;
thread_local std::int64_t peak_in_use = 0;

void* counted_allocate(std::size_t size)
{
    auto* const memory = std::malloc(std::max<std::size_t>(size, 1));
    if (memory == nullptr)
        throw std::bad_alloc();
    if (is_counting)
    {
        in_use += static_cast<std::int64_t>(malloc_usable_size(memory));
        peak_in_use = std::max(peak_in_use, in_use);
    }
    return memory;
}

void counted_free(void* memory) noexcept
{
    if (is_counting && memory != nullptr)
        in_use -= static_cast<std::int64_t>(malloc_usable_size(memory));
    std::free(memory);
}

} // namespace

allocation_meter::allocation_meter()
{
    in_use = 0;
    peak_in_use = 0;
    is_counting = true;
}

allocation_meter::~allocation_meter()
{
    is_counting = false;
}

std::size_t allocation_meter::peak() const
{
    return static_cast<std::size_t>(peak_in_use);
}

} // namespace buckthornvale::fuzz

void* operator new(std::size_t size)
{
    return buckthornvale::fuzz::counted_allocate(size);
}

void* operator new[](std::size_t size)
{
    return buckthornvale::fuzz::counted_allocate(size);
}

void operator delete(void* memory) noexcept
{
    buckthornvale::fuzz::counted_free(memory);
}

void operator delete[](void* memory) noexcept
{
    buckthornvale::fuzz::counted_free(memory);
}

void operator delete(void* memory, std::size_t) noexcept
{
    buckthornvale::fuzz::counted_free(memory);
}

void operator delete[](void* memory, std::size_t) noexcept
{
    buckthornvale::fuzz::counted_free(memory);
}
