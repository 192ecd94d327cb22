#ifndef BUCKTHORNVALE_FUZZ_TESTS_ALLOCATION_METER_HPP
#define BUCKTHORNVALE_FUZZ_TESTS_ALLOCATION_METER_HPP

#include <cstddef>

namespace buckthornvale::fuzz
{

//! Counts the bytes that operator new handed out on this thread since its
//! construction. One at a time per thread.
class allocation_meter
{
public:
    allocation_meter();
    ~allocation_meter();
    allocation_meter(allocation_meter const&) = delete;
    allocation_meter& operator=(allocation_meter const&) = delete;

    //! Most bytes in use at one time.
    std::size_t peak() const;
};

} // namespace buckthornvale::fuzz

#endif
