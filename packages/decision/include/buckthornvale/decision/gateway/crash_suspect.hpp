#ifndef BUCKTHORNVALE_DECISION_GATEWAY_CRASH_SUSPECT_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_CRASH_SUSPECT_HPP

#include <buckthornvale/decision/core/time.hpp>
#include <buckthornvale/decision/gateway/request.hpp>

#include <cstdint>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace buckthornvale::decision::gateway
{

enum class suspect_kind
{
    prompt_part,
    path,
    key
};

//! Stable name in logs.
char const* name_of(suspect_kind kind);

//! A property that requests of a service share and that may crash each runner
//! which executes one of them.
struct crash_suspect
{
    suspect_kind kind = suspect_kind::prompt_part;
    std::uint64_t service = 0; //!< hash of its name
    std::uint64_t value = 0;   //!< id of the prompt part, or hash of the text

    friend bool operator==(crash_suspect const& a, crash_suspect const& b)
    {
        return std::tie(a.kind, a.service, a.value) ==
               std::tie(b.kind, b.service, b.value);
    }

    template <class Hash>
    friend Hash AbslHashValue(Hash state, crash_suspect const& it)
    {
        return Hash::combine(std::move(state), static_cast<int>(it.kind),
                             it.service, it.value);
    }
};

//! A suspect and how long ago the first and the last crash were that count
//! against it. Ages, because the clocks of VMs are not synchronised.
struct crash_verdict
{
    crash_suspect suspect;
    duration first_crash_age{};
    duration last_crash_age{};
};

//! Returns what the request may share with others. The last part of its prompt
//! is left out: it belongs to the request or its session alone.
std::vector<crash_suspect> crash_suspects_of(std::string_view service,
                                             request_traits const& traits);

} // namespace buckthornvale::decision::gateway

#endif
