#include "binary.hpp"

#include <cstdint>
#include <vector>

namespace buckthornvale::peer::detail
{

nlohmann::json binary_of(std::string const& bytes)
{
    return nlohmann::json::binary(
        std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

} // namespace buckthornvale::peer::detail
