#ifndef BUCKTHORNVALE_FUZZ_TESTS_ALLOCATION_METER_HPP
#define BUCKTHORNVALE_FUZZ_TESTS_ALLOCATION_METER_HPP

#include <cstddef>

namespace buckthornvale::fuzz
{

//! Measures the memory that operator new allocates on the current thread after
//! construction. At most one instance may exist per thread at a time.
class allocation_meter
{
public:
    allocation_meter();
    ~allocation_meter();
    allocation_meter(allocation_meter const&) = delete;
    allocation_meter& operator=(allocation_meter const&) = delete;

    //! Maximum number of bytes in use at the same time.
    std::size_t peak() const;
};

} // namespace buckthornvale::fuzz

#endif
