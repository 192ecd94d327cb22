#include "length_check.hpp"

#include <cstddef>
#include <cstdint>

namespace buckthornvale::documents::detail
{

namespace
{

// Removes the first `count` bytes; returns false when there are fewer.
bool skip_bytes(std::string_view& bytes, std::uint64_t count)
{
    if (count > bytes.size())
        return false;
    bytes.remove_prefix(static_cast<std::size_t>(count));
    return true;
}

} // namespace

bool has_definite_lengths(std::string_view cbor)
{
    // The initial byte holds the major type in its upper 3 bits and the
    // additional information in its lower 5. The latter is the argument itself
    // when below 24; 24 to 27 mean that 1, 2, 4 or 8 argument bytes follow.
    constexpr unsigned additional_info_mask = 31;
    constexpr unsigned first_multibyte_info = 24;
    constexpr unsigned last_multibyte_info = 27;
    constexpr unsigned major_byte_string = 2;
    constexpr unsigned major_text_string = 3;
    while (!cbor.empty())
    {
        auto const initial_byte = static_cast<unsigned char>(cbor.front());
        auto const major_type = initial_byte >> 5U;
        std::uint64_t argument = initial_byte & additional_info_mask;
        cbor.remove_prefix(1);
        if (argument > last_multibyte_info)
            return false;
        if (argument >= first_multibyte_info)
        {
            auto const argument_size = std::size_t{1}
                                       << (argument - first_multibyte_info);
            auto const argument_bytes = cbor.substr(0, argument_size);
            if (!skip_bytes(cbor, argument_size))
                return false;
            argument = 0;
            for (auto byte : argument_bytes)
                argument = argument << 8U | static_cast<unsigned char>(byte);
        }
        if ((major_type == major_byte_string ||
             major_type == major_text_string) &&
            !skip_bytes(cbor, argument))
            return false;
    }
    return true;
}

} // namespace buckthornvale::documents::detail
