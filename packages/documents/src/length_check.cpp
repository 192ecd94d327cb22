#include "length_check.hpp"

#include <cstddef>
#include <cstdint>

namespace buckthornvale::documents::detail
{

namespace
{

// Removes the first `count` bytes; false when there are fewer.
bool skip(std::string_view& bytes, std::uint64_t count)
{
    if (count > bytes.size())
        return false;
    bytes.remove_prefix(static_cast<std::size_t>(count));
    return true;
}

} // namespace

bool has_definite_lengths(std::string_view cbor)
{
    // Initial byte: major type in 3 bits, then a number below 24, or how many
    // bytes of a number follow: 1, 2, 4 or 8 for 24 to 27.
    constexpr unsigned info_mask = 31;
    constexpr unsigned first_sized = 24;
    constexpr unsigned last_sized = 27;
    constexpr unsigned byte_string = 2;
    constexpr unsigned text_string = 3;
    while (!cbor.empty())
    {
        auto const initial = static_cast<unsigned char>(cbor.front());
        auto const major = initial >> 5U;
        std::uint64_t number = initial & info_mask;
        cbor.remove_prefix(1);
        if (number > last_sized)
            return false;
        if (number >= first_sized)
        {
            auto const size = std::size_t{1} << (number - first_sized);
            auto const digits = cbor.substr(0, size);
            if (!skip(cbor, size))
                return false;
            number = 0;
            for (auto it : digits)
                number = number << 8U | static_cast<unsigned char>(it);
        }
        if ((major == byte_string || major == text_string) &&
            !skip(cbor, number))
            return false;
    }
    return true;
}

} // namespace buckthornvale::documents::detail
