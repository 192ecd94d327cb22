#include <buckthornvale/decision/bookings/shard_document.hpp>
#include <buckthornvale/decision/core/text.hpp>

#include <absl/container/flat_hash_set.h>
#include <absl/status/status.h>
#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <array>
#include <functional>
#include <limits>
#include <optional>
#include <string>

namespace buckthornvale::decision::bookings
{

namespace
{

using nlohmann::json;

constexpr int format_version = 1;

// Upper bound of the encoded size of an entry without result: two digests, five
// numbers of up to 20 digits, quotes and separators.
constexpr std::size_t max_entry_bytes = 190;
// Encoded size that a truncated result adds: its digest and its size.
constexpr std::size_t truncated_bytes = 60;

constexpr std::array<char const*, 4> state_names = {"c", "d", "r", "u"};

// Fields of an entry, in the order of the JSON array. The last three are
// present only if the claim is completed.
enum field : std::size_t
{
    state_field,
    body_field,
    owner_field,
    incarnation_field,
    nonce_field,
    deadline_field,
    base_field_count,
    digest_field = base_field_count,
    size_field,
    bytes_field, //!< base64, or null when truncated
    completed_field_count
};

std::size_t result_bytes(booking_result const& result)
{
    if (result.truncated)
        return truncated_bytes;
    return truncated_bytes + (result.bytes.size() + 2) / 3 * 4;
}

json encode_entry(claim_entry const& entry)
{
    json value =
        json::array({state_names[static_cast<std::size_t>(entry.state)],
                     to_text(entry.body), entry.owner.value, entry.incarnation,
                     entry.nonce, entry.deadline.time_since_epoch().count()});
    if (entry.state != claim_state::completed)
        return value;
    value.push_back(to_text(entry.result.digest));
    value.push_back(entry.result.size);
    if (entry.result.truncated)
        value.push_back(nullptr);
    else
        value.push_back(absl::Base64Escape(entry.result.bytes));
    return value;
}

std::optional<claim_state> parse_state(json const& value)
{
    if (!value.is_string())
        return std::nullopt;
    for (std::size_t i = 0; i < state_names.size(); ++i)
    {
        if (value.get_ref<std::string const&>() == state_names[i])
            return static_cast<claim_state>(i);
    }
    return std::nullopt;
}

bool parse_digest_field(json const& value, digest128& out)
{
    return value.is_string() &&
           parse_digest(value.get_ref<std::string const&>(), out);
}

bool parse_number(json const& value, std::uint64_t& out)
{
    if (!value.is_number_unsigned())
        return false;
    out = value.get<std::uint64_t>();
    return true;
}

bool parse_deadline(json const& value, wall_time& out)
{
    constexpr auto latest =
        static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (!value.is_number_integer() ||
        (value.is_number_unsigned() && value.get<std::uint64_t>() > latest))
        return false;
    out = wall_time(std::chrono::milliseconds(value.get<std::int64_t>()));
    return true;
}

bool decode_result(json const& value, booking_result& result)
{
    if (!parse_digest_field(value[digest_field], result.digest) ||
        !parse_number(value[size_field], result.size))
        return false;
    auto const& bytes = value[bytes_field];
    result.truncated = bytes.is_null();
    if (result.truncated)
        return true;
    return bytes.is_string() &&
           absl::Base64Unescape(bytes.get_ref<std::string const&>(),
                                &result.bytes) &&
           result.bytes.size() == result.size &&
           digest128::of(result.bytes) == result.digest;
}

bool decode_entry(json const& value, claim_entry& entry)
{
    if (!value.is_array() || value.size() < base_field_count)
        return false;
    auto const state = parse_state(value[state_field]);
    if (!state)
        return false;
    entry.state = *state;
    if (!parse_digest_field(value[body_field], entry.body) ||
        !parse_number(value[owner_field], entry.owner.value) ||
        !parse_number(value[incarnation_field], entry.incarnation) ||
        !parse_number(value[nonce_field], entry.nonce) ||
        !parse_deadline(value[deadline_field], entry.deadline))
        return false;
    if (entry.state != claim_state::completed)
        return value.size() == base_field_count;
    return value.size() == completed_field_count &&
           decode_result(value, entry.result);
}

// Detects duplicate members of the document and duplicate claim ids. The parser
// keeps the last of two members, which would silently drop a claim.
class duplicate_check
{
public:
    bool operator()(int depth, json::parse_event_t event, json const& parsed)
    {
        if (event != json::parse_event_t::key)
            return true;
        if (depth == document_depth)
            found_ =
                !members_.insert(parsed.get<std::string>()).second || found_;
        else if (depth == claims_depth)
            found_ = !ids_.insert(parsed.get<std::string>()).second || found_;
        return true;
    }

    bool found() const { return found_; }

private:
    static constexpr int document_depth = 1;
    static constexpr int claims_depth = 2;

    absl::flat_hash_set<std::string> members_;
    absl::flat_hash_set<std::string> ids_;
    bool found_ = false;
};

absl::Status damaged(std::string_view what)
{
    return absl::DataLossError(
        absl::StrCat("claim shard is damaged: ", as_absl(what),
                     "; restore the object or wait until its window ends"));
}

} // namespace

absl::StatusOr<shard_document> shard_document::decode(std::string_view value)
{
    duplicate_check duplicates;
    auto const parsed = json::parse(value, std::ref(duplicates), false);
    if (parsed.is_discarded() || !parsed.is_object())
        return damaged("not a JSON object");
    if (duplicates.found())
        return damaged("duplicate member");
    auto const version = parsed.find("v");
    if (version == parsed.end() || *version != format_version)
        return damaged("unknown format version");
    auto const claims = parsed.find("claims");
    if (claims == parsed.end() || !claims->is_object())
        return damaged("member 'claims' is missing or not an object");
    shard_document document;
    document.claims_.reserve(claims->size());
    for (auto const& it : claims->items())
    {
        claim_id id;
        claim_entry entry;
        if (!parse_digest(it.key(), id) || !decode_entry(it.value(), entry))
            return damaged(absl::StrCat("malformed entry ", it.key()));
        document.bytes_ += max_entry_bytes;
        if (entry.state == claim_state::completed)
            document.bytes_ += result_bytes(entry.result);
        document.claims_.emplace(id, std::move(entry));
    }
    return document;
}

std::string shard_document::encode() const
{
    json claims = json::object();
    for (auto const& it : claims_)
        claims.emplace(to_text(it.first), encode_entry(it.second));
    json const value = {{"v", format_version}, {"claims", std::move(claims)}};
    return value.dump();
}

shard_document::change shard_document::apply(shard_update const& update,
                                             std::size_t max_claim_bytes,
                                             std::size_t max_value_bytes)
{
    auto const it = claims_.find(update.id);
    if (it == claims_.end())
    {
        if (update.kind == update_kind::claim)
            return insert(update, max_claim_bytes);
        if (update.kind == update_kind::query)
            return {update_verdict::absent, false, error_kind::none};
        // The claim was released, or its window was deleted.
        return {};
    }
    auto& entry = it->second;
    if (update.kind == update_kind::query)
        return {update_verdict::existing, false, error_kind::none};
    if (!is_same_claim(entry, update))
        return {update_verdict::existing, false, error_kind::none};
    switch (update.kind)
    {
    case update_kind::dispatched:
        if (entry.state != claim_state::claimed)
            return {};
        entry.state = claim_state::dispatched;
        return {update_verdict::applied, true, error_kind::none};
    case update_kind::unknown:
        if (entry.state == claim_state::completed ||
            entry.state == claim_state::unknown)
            return {};
        entry.state = claim_state::unknown;
        return {update_verdict::applied, true, error_kind::none};
    case update_kind::completed:
        return complete(entry, update, max_value_bytes);
    case update_kind::release:
        // An owner releases a claim that it has no record of; this must not
        // remove a claim that has run.
        if (entry.state == claim_state::completed ||
            entry.state == claim_state::unknown ||
            entry.incarnation != update.incarnation)
            return {};
        claims_.erase(it);
        bytes_ -= max_entry_bytes;
        return {update_verdict::applied, true, error_kind::none};
    default:
        return {};
    }
}

shard_document::change shard_document::insert(shard_update const& update,
                                              std::size_t max_claim_bytes)
{
    if (bytes_ + max_entry_bytes + truncated_bytes > max_claim_bytes)
        return {update_verdict::refused, false, error_kind::overloaded};
    claim_entry entry;
    entry.body = update.body;
    entry.owner = update.owner;
    entry.incarnation = update.incarnation;
    entry.nonce = update.nonce;
    entry.deadline = update.deadline;
    claims_.emplace(update.id, std::move(entry));
    bytes_ += max_entry_bytes;
    return {update_verdict::applied, true, error_kind::none};
}

shard_document::change shard_document::complete(claim_entry& entry,
                                                shard_update const& update,
                                                std::size_t max_value_bytes)
{
    // The first result is kept, so that all duplicates get the same one.
    if (entry.state == claim_state::completed)
        return {};
    entry.state = claim_state::completed;
    entry.result = update.result;
    if (bytes_ + result_bytes(entry.result) > max_value_bytes)
        entry.result = truncate(std::move(entry.result));
    bytes_ += result_bytes(entry.result);
    return {update_verdict::applied, true, error_kind::none};
}

claim_entry const* shard_document::find(claim_id id) const
{
    auto const it = claims_.find(id);
    return it == claims_.end() ? nullptr : &it->second;
}

} // namespace buckthornvale::decision::bookings
