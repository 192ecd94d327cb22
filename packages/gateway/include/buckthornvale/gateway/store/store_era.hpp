#ifndef BUCKTHORNVALE_GATEWAY_STORE_STORE_ERA_HPP
#define BUCKTHORNVALE_GATEWAY_STORE_STORE_ERA_HPP

#include <cstdint>
#include <optional>

namespace buckthornvale::gateway::store
{

//! How the era of an answer compares with the newest known one.
enum class era_order
{
    current,
    risen, //!< the store has come back from a copy since the last answer
    former //!< the answer was given before the store came back
};

//! The era of the store, as its answers state it. Revisions of different eras
//! belong to different histories and must not be compared.
class store_era
{
public:
    //! Takes note of an answer. One that states no era counts as current.
    era_order observe(std::optional<std::uint64_t> stated);

    //! Empty before the first answer that states it.
    std::optional<std::uint64_t> current() const { return current_; }

private:
    std::optional<std::uint64_t> current_;
};

} // namespace buckthornvale::gateway::store

#endif
