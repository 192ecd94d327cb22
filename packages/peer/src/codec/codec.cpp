#include "reader.hpp"
#include <buckthornvale/decision/core/text.hpp>
#include <buckthornvale/documents/cbor.hpp>
#include <buckthornvale/peer/codec/codec.hpp>

#include <absl/status/status.h>
#include <absl/strings/str_cat.h>
#include <absl/types/span.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>
#include <vector>

namespace buckthornvale::peer
{

namespace
{

using detail::field_reader;
using nlohmann::json;
namespace bookings = decision::bookings;
namespace config = decision::config;
namespace fleet = decision::fleet;
namespace isolation = decision::isolation;

constexpr std::uint64_t protocol_version = 1;
constexpr std::size_t max_value_bytes = 1'048'576;

json binary_of(std::string const& bytes)
{
    return json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

// hello, ping, ack, goodbye

json fields_of(hello const& value)
{
    return {{"t", "hello"}, {"vm", value.vm.value}, {"inc", value.incarnation}};
}

void read(field_reader& in, hello& value)
{
    in.number("vm", value.vm.value);
    in.number("inc", value.incarnation);
}

json fields_of(ping const& value)
{
    return {{"t", "ping"}, {"to", value.target.value}, {"n", value.sequence}};
}

void read(field_reader& in, ping& value)
{
    in.number("to", value.target.value);
    in.number("n", value.sequence);
}

json fields_of(ack const& value)
{
    return {{"t", "ack"}, {"to", value.target.value}, {"n", value.sequence}};
}

void read(field_reader& in, ack& value)
{
    in.number("to", value.target.value);
    in.number("n", value.sequence);
}

json fields_of(goodbye const&)
{
    return {{"t", "goodbye"}};
}

void read(field_reader&, goodbye&) {}

// isolation marks

json fields_of(isolation::isolation_mark const& value)
{
    using std::chrono::milliseconds;
    auto const left = std::chrono::duration_cast<milliseconds>(value.remaining);
    json crashes = json::array();
    for (auto it : value.crash_ids)
        crashes.push_back(it);
    return {{"t", "mark"},
            {"h", value.content.high},
            {"l", value.content.low},
            {"s", static_cast<unsigned>(value.state)},
            {"li", value.lifts},
            {"cl", value.clears},
            {"x", std::move(crashes)},
            {"ms", static_cast<std::uint64_t>(
                       std::max<std::int64_t>(left.count(), 0))}};
}

void read(field_reader& in, isolation::isolation_mark& value)
{
    constexpr std::uint64_t max_remaining_ms = 24ULL * 3600 * 1000;
    std::uint64_t state = 0;
    std::uint64_t ms = 0;
    in.number("h", value.content.high);
    in.number("l", value.content.low);
    in.number("s", state);
    in.number("li", value.lifts);
    in.number("cl", value.clears);
    in.number("ms", ms);
    if (state > static_cast<unsigned>(isolation::mark_state::isolated))
        in.fail("s");
    value.state = static_cast<isolation::mark_state>(state);
    value.remaining = std::chrono::milliseconds(std::min(ms, max_remaining_ms));
    auto const* list = in.optional_array("x", isolation::max_crash_ids);
    if (list == nullptr)
        return;
    for (auto const& it : *list)
    {
        if (it.is_number_unsigned())
            value.crash_ids.push_back(it.get<std::uint64_t>());
        else
            in.fail("x");
    }
}

// summaries

// Whole numbers take one to five bytes in CBOR, other numbers five or nine.
// A thousandth is finer than any decision needs.
constexpr double units = 1000.;

// A light organisation costs far less than a thousandth of a pool a second.
constexpr double cost_scale = 1000.;

// The largest amount of thousandths that a double holds exactly.
constexpr double max_units = 9007199254740992.;

// Bits of a summary's kind.
constexpr unsigned full_flag = 1;
constexpr unsigned fleet_flag = 2;

json units_of(double value)
{
    auto const scaled = value * units;
    if (!(scaled > 0.))
        return 0U;
    return static_cast<std::uint64_t>(
        std::llround(std::min(scaled, max_units)));
}

// Reads an array of an id and amounts: shorter than a map with names, and
// summaries are most of the links' traffic.
void read_load(field_reader& in, char const* name, json const& list,
               std::uint64_t& id, absl::Span<double> amounts)
{
    if (!list.is_array() || list.size() != amounts.size() + 1)
    {
        in.fail(name);
        return;
    }
    for (auto const& it : list)
    {
        if (!it.is_number_unsigned())
        {
            in.fail(name);
            return;
        }
    }
    id = list[0].get<std::uint64_t>();
    for (std::size_t i = 0; i < amounts.size(); ++i)
    {
        auto const value = list[i + 1].get<std::uint64_t>();
        amounts[i] = static_cast<double>(value) / units;
    }
}

json fields_of(fleet::summary_message const& value)
{
    json pools = json::array();
    for (auto const& it : value.load.pools)
    {
        json load = json::array({it.pool.value});
        for (auto running : it.in_flight)
            load.push_back(units_of(running));
        for (auto demand : it.demand)
            load.push_back(units_of(demand));
        pools.push_back(std::move(load));
    }
    json organisations = json::array();
    for (auto const& it : value.load.organisations)
    {
        json load = json::array({it.organisation.value,
                                 units_of(it.requests_per_second),
                                 units_of(it.concurrent)});
        for (auto cost : it.cost_rate)
            load.push_back(units_of(cost * cost_scale));
        organisations.push_back(std::move(load));
    }
    json marks = json::array();
    for (auto const& it : value.load.marks)
    {
        auto fields = fields_of(it);
        fields.erase("t");
        marks.push_back(std::move(fields));
    }
    json fields = {
        {"t", "summary"},
        {"n", value.sequence},
        {"k", (value.full ? full_flag : 0U) | (value.fleet ? fleet_flag : 0U)},
        {"c", value.load.vms},
        {"r", value.load.settings_revision},
        {"u", units_of(value.load.unlisted_request_rate)}};
    json costs = json::array();
    for (auto cost : value.load.cost_rate)
        costs.push_back(units_of(cost * cost_scale));
    fields["x"] = std::move(costs);
    // Most differences have none of the lists.
    if (!pools.empty())
        fields["p"] = std::move(pools);
    if (!organisations.empty())
        fields["o"] = std::move(organisations);
    if (!marks.empty())
        fields["m"] = std::move(marks);
    return fields;
}

void read_costs(field_reader& in,
                std::array<double, decision::rank_count>& costs)
{
    auto const* list = in.optional_array("x", costs.size());
    if (list == nullptr || list->size() != costs.size())
        return in.fail("x");
    for (std::size_t i = 0; i < costs.size(); ++i)
    {
        if (!(*list)[i].is_number_unsigned())
            return in.fail("x");
        auto const value = (*list)[i].get<std::uint64_t>();
        costs[i] = static_cast<double>(value) / units / cost_scale;
    }
}

void read(field_reader& in, fleet::summary_message& value)
{
    std::uint64_t flags = 0;
    in.number("n", value.sequence);
    in.number("k", flags);
    in.number("c", value.load.vms);
    in.number("r", value.load.settings_revision);
    std::uint64_t unlisted = 0;
    in.number("u", unlisted);
    value.load.unlisted_request_rate = static_cast<double>(unlisted) / units;
    read_costs(in, value.load.cost_rate);
    if (flags > (full_flag | fleet_flag))
        in.fail("k");
    value.full = (flags & full_flag) != 0;
    value.fleet = (flags & fleet_flag) != 0;
    // A difference also lists what is gone, so it may have twice the entries.
    if (auto const* list = in.optional_array("p", 2 * fleet::max_summary_pools))
    {
        for (auto const& it : *list)
        {
            std::array<double, 2 * decision::rank_count> amounts{};
            fleet::pool_load load;
            read_load(in, "p", it, load.pool.value, absl::MakeSpan(amounts));
            auto const half = amounts.begin() + decision::rank_count;
            std::copy(amounts.begin(), half, load.in_flight.begin());
            std::copy(half, amounts.end(), load.demand.begin());
            value.load.pools.push_back(load);
        }
    }
    if (auto const* list =
            in.optional_array("o", 2 * fleet::max_summary_organisations))
    {
        for (auto const& it : *list)
        {
            std::array<double, 2 + decision::rank_count> amounts{};
            fleet::organisation_load load;
            read_load(in, "o", it, load.organisation.value,
                      absl::MakeSpan(amounts));
            load.requests_per_second = amounts[0];
            load.concurrent = amounts[1];
            std::transform(amounts.begin() + 2, amounts.end(),
                           load.cost_rate.begin(),
                           [](double cost) { return cost / cost_scale; });
            value.load.organisations.push_back(load);
        }
    }
    if (auto const* list = in.optional_array("m", fleet::max_summary_marks))
    {
        for (auto const& it : *list)
        {
            field_reader entry(it);
            isolation::isolation_mark mark;
            read(entry, mark);
            in.check(entry);
            value.load.marks.push_back(mark);
        }
    }
}

// settings

json fields_of(config::revision_announcement const& value)
{
    return {
        {"t", "settings_have"}, {"rev", value.revision}, {"c", value.complete}};
}

void read(field_reader& in, config::revision_announcement& value)
{
    in.number("rev", value.revision);
    in.boolean("c", value.complete);
}

json fields_of(config::settings_pull const& value)
{
    return {{"t", "settings_pull"}, {"from", value.from}, {"base", value.base}};
}

void read(field_reader& in, config::settings_pull& value)
{
    in.number("from", value.from);
    in.number("base", value.base);
}

json fields_of(config::settings_push const& value)
{
    json objects = json::array();
    for (auto const& it : value.objects)
    {
        objects.push_back({{"p", it.path},
                           {"n", it.version},
                           {"del", it.deleted},
                           {"val", binary_of(it.value)}});
    }
    return {{"t", "settings_push"}, {"from", value.from},
            {"to", value.up_to},    {"rev", value.revision},
            {"re", value.restart},  {"objs", std::move(objects)}};
}

void read(field_reader& in, config::settings_push& value)
{
    in.number("from", value.from);
    in.number("to", value.up_to);
    in.number("rev", value.revision);
    in.boolean("re", value.restart);
    auto const* list = in.array("objs", max_push_objects);
    if (list == nullptr)
        return;
    for (auto const& it : *list)
    {
        field_reader entry(it);
        config::settings_object object;
        entry.text("p", object.path, max_path_bytes);
        entry.number("n", object.version);
        entry.boolean("del", object.deleted);
        entry.binary("val", object.value, max_value_bytes);
        in.check(entry);
        if (object.path.empty() || object.version == 0)
            in.fail("objs");
        value.objects.push_back(std::move(object));
    }
    if (value.up_to < value.from)
        in.fail("to");
}

// claims

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

// types

template <class Type>
message read_message(field_reader& in)
{
    Type value;
    read(in, value);
    return value;
}

struct type_entry
{
    std::string_view name;
    message (*read)(field_reader&);
};

constexpr type_entry types[] = {
    {"hello", read_message<hello>},
    {"summary", read_message<fleet::summary_message>},
    {"ping", read_message<ping>},
    {"ack", read_message<ack>},
    {"settings_have", read_message<config::revision_announcement>},
    {"settings_pull", read_message<config::settings_pull>},
    {"settings_push", read_message<config::settings_push>},
    {"claim", read_message<bookings::shard_update>},
    {"claim_answer", read_message<bookings::update_answer>},
    {"mark", read_message<isolation::isolation_mark>},
    {"goodbye", read_message<goodbye>},
};

type_entry const* find_type(std::string const& name)
{
    for (auto const& it : types)
    {
        if (it.name == name)
            return &it;
    }
    return nullptr;
}

// The deepest valid message has a list of entries with a list of numbers; a
// push of 8,192 objects has nine keys and values each.
constexpr documents::cbor_bounds bounds = {6, 100000};

absl::StatusOr<json> parse(std::string_view bytes)
{
    if (bytes.size() > max_message_bytes)
        return absl::ResourceExhaustedError(
            "peer message exceeds the size limit");
    auto parsed = documents::parse_cbor(bytes, bounds);
    if (parsed.error == documents::cbor_error::too_large)
        return absl::ResourceExhaustedError(
            "peer message has too many values or levels");
    if (parsed.error != documents::cbor_error::none)
        return absl::InvalidArgumentError("peer message is not valid CBOR");
    return std::move(parsed.value);
}

} // namespace

std::string encode(message const& value)
{
    auto fields =
        std::visit([](auto const& it) { return fields_of(it); }, value);
    fields["v"] = protocol_version;
    std::string bytes;
    json::to_cbor(fields, bytes);
    return bytes;
}

absl::StatusOr<message> decode(std::string_view bytes)
{
    auto const parsed = parse(bytes);
    if (!parsed.ok())
        return parsed.status();
    field_reader in(*parsed);
    std::uint64_t version = 0;
    std::string name;
    in.number("v", version);
    in.text("t", name, max_path_bytes);
    if (in.ok() && version != protocol_version)
        return absl::UnimplementedError("peer message has another version");
    auto const* type = find_type(name);
    if (in.ok() && type == nullptr)
        return absl::UnimplementedError("peer message has an unknown type");
    message value;
    if (in.ok())
        value = type->read(in);
    if (in.too_large())
        return absl::ResourceExhaustedError(
            "a field of the peer message exceeds its limit");
    if (!in.ok())
        return absl::InvalidArgumentError(absl::StrCat(
            "peer message field is missing or wrong: ", in.failed_field()));
    return value;
}

} // namespace buckthornvale::peer
