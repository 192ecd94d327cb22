#include <cstddef>
#include <cstdint>
#include <targets/targets.hpp>

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data,
                                      std::size_t size)
{
    buckthornvale::fuzz::BUCKTHORNVALE_FUZZ_TARGET(
        {reinterpret_cast<char const*>(data), size});
    return 0;
}
