#include "claim_fields.hpp"

#include "binary.hpp"
#include <buckthornvale/decision/core/error.hpp>
#include <buckthornvale/decision/core/time.hpp>

#include <chrono>
#include <cstdint>

namespace buckthornvale::peer::detail
{

using nlohmann::json;
namespace bookings = decision::bookings;

namespace
{

json fields_of(bookings::digest128 value)
{
    return {{"h", value.high}, {"l", value.low}};
}

void read(field_reader& in, char const* name, bookings::digest128& value)
{
    auto const* nested = in.map(name);
    if (nested == nullptr)
        return;
    field_reader entry(*nested);
    entry.number("h", value.high);
    entry.number("l", value.low);
    in.check(entry);
}

json fields_of(bookings::booking_result const& value)
{
    return {{"b", binary_of(value.bytes)},
            {"cut", value.truncated},
            {"d", fields_of(value.digest)},
            {"n", value.size}};
}

void read(field_reader& in, char const* name, bookings::booking_result& value)
{
    auto const* nested = in.map(name);
    if (nested == nullptr)
        return;
    field_reader entry(*nested);
    entry.binary("b", value.bytes, bookings::max_result_bytes);
    entry.boolean("cut", value.truncated);
    read(entry, "d", value.digest);
    entry.number("n", value.size);
    in.check(entry);
}

json fields_of(bookings::shard_address value)
{
    return {{"w", value.window}, {"s", value.shard}};
}

void read(field_reader& in, char const* name, bookings::shard_address& value)
{
    auto const* nested = in.map(name);
    if (nested == nullptr)
        return;
    field_reader entry(*nested);
    entry.number("w", value.window);
    entry.number("s", value.shard);
    in.check(entry);
}

json milliseconds_of(decision::wall_time value)
{
    return value.time_since_epoch().count();
}

void read(field_reader& in, char const* name, decision::wall_time& value)
{
    std::int64_t milliseconds = 0;
    in.integer(name, milliseconds);
    value = decision::wall_time(std::chrono::milliseconds(milliseconds));
}

json fields_of(bookings::claim_entry const& value)
{
    return {{"s", static_cast<unsigned>(value.state)},
            {"body", fields_of(value.body)},
            {"vm", value.owner.value},
            {"inc", value.incarnation},
            {"nonce", value.nonce},
            {"dl", milliseconds_of(value.deadline)},
            {"res", fields_of(value.result)}};
}

void read(field_reader& in, char const* name, bookings::claim_entry& value)
{
    auto const* nested = in.map(name);
    if (nested == nullptr)
        return;
    field_reader entry(*nested);
    entry.enumeration("s", value.state, bookings::claim_state::unknown);
    read(entry, "body", value.body);
    entry.number("vm", value.owner.value);
    entry.number("inc", value.incarnation);
    entry.number("nonce", value.nonce);
    read(entry, "dl", value.deadline);
    read(entry, "res", value.result);
    in.check(entry);
}

} // namespace

json fields_of(bookings::shard_update const& value)
{
    return {{"t", "claim"},
            {"k", static_cast<unsigned>(value.kind)},
            {"at", fields_of(value.shard)},
            {"id", fields_of(value.id)},
            {"body", fields_of(value.body)},
            {"vm", value.owner.value},
            {"inc", value.incarnation},
            {"nonce", value.nonce},
            {"dl", milliseconds_of(value.deadline)},
            {"res", fields_of(value.result)}};
}

void read(field_reader& in, bookings::shard_update& value)
{
    in.enumeration("k", value.kind, bookings::update_kind::release);
    read(in, "at", value.shard);
    read(in, "id", value.id);
    read(in, "body", value.body);
    in.number("vm", value.owner.value);
    in.number("inc", value.incarnation);
    in.number("nonce", value.nonce);
    read(in, "dl", value.deadline);
    read(in, "res", value.result);
}

json fields_of(bookings::update_answer const& value)
{
    return {{"t", "claim_answer"},
            {"k", static_cast<unsigned>(value.kind)},
            {"at", fields_of(value.shard)},
            {"id", fields_of(value.id)},
            {"inc", value.incarnation},
            {"nonce", value.nonce},
            {"a", static_cast<unsigned>(value.verdict)},
            {"why", static_cast<unsigned>(value.reason)},
            {"e", fields_of(value.entry)}};
}

void read(field_reader& in, bookings::update_answer& value)
{
    in.enumeration("k", value.kind, bookings::update_kind::release);
    read(in, "at", value.shard);
    read(in, "id", value.id);
    in.number("inc", value.incarnation);
    in.number("nonce", value.nonce);
    in.enumeration("a", value.verdict, bookings::update_verdict::unsettled);
    in.enumeration("why", value.reason, decision::error_kind::caller_gone);
    read(in, "e", value.entry);
}

} // namespace buckthornvale::peer::detail
