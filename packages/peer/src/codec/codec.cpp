#include "claim_fields.hpp"
#include "link_fields.hpp"
#include "mark_fields.hpp"
#include "reader.hpp"
#include "settings_fields.hpp"
#include "summary_fields.hpp"
#include <buckthornvale/documents/cbor.hpp>
#include <buckthornvale/peer/codec/codec.hpp>

#include <absl/status/status.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace buckthornvale::peer
{

namespace
{

using detail::field_reader;
using detail::fields_of;
using detail::read;
using nlohmann::json;
namespace bookings = decision::bookings;
namespace config = decision::config;
namespace fleet = decision::fleet;
namespace isolation = decision::isolation;

constexpr std::uint64_t protocol_version = 1;

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
