#include <buckthornvale/documents/cbor.hpp>
#include <buckthornvale/gateway/peer/peer_codec.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace buckthornvale::gateway::peer
{

namespace
{

using nlohmann::json;
namespace model = decision::gateway;

//! First element of an envelope. VMs with different versions treat each other
//! as unreachable.
constexpr int protocol_version = 4;

//! The most deeply nested message is a list of backlogs that each have a list
//! of waits by class. A piece takes about 20 values, and a VM may hold
//! thousands of pieces.
constexpr documents::cbor_bounds cbor_limits = {7, 2'000'000};

//! Number of values of an encoded priority, before the waits of its class.
constexpr std::size_t priority_values = 3;

//! First element of a message.
enum class message_tag
{
    submit_pieces,
    return_results,
    release_results,
    cancel_pieces,
    report_crash,
    announce_stages,
    report_lost_run,
    report_unreachable_runner,
    accuse_suspects,
    report_answered,
    block_suspects,
    share_crash_records,
    report_rate_limit
};

json encode(model::dispatch_priority const& it)
{
    return {it.deferred, it.route_rank, it.organisation_rank};
}

json encode(model::queue_forecast const& it)
{
    auto out = json::array({it.without_queue.count()});
    for (auto const& entry : it.classes)
    {
        auto values = encode(entry.priority);
        for (auto const wait : entry.waits.waits)
            values.push_back(wait.count());
        values.push_back(entry.behind.count());
        out.push_back(std::move(values));
    }
    return out;
}

json encode(model::submit_pieces const& it)
{
    auto list = json::array();
    for (auto const& piece : it.pieces)
        list.push_back(
            {piece.request, piece.round, piece.request_id, piece.service,
             piece.stage, piece.number, piece.key, piece.inputs, piece.domain,
             piece.result_bytes, encode(piece.priority), piece.due_in.count(),
             piece.latest_start_in.count(), piece.time_left.count()});
    return {message_tag::submit_pieces, std::move(list)};
}

json encode(model::return_results const& it)
{
    auto results = json::array();
    for (auto const& result : it.results)
        results.push_back({result.service, result.request, result.round,
                           result.stage, result.number, result.outcome,
                           result.handle});
    auto backlogs = json::array();
    for (auto const& backlog : it.backlogs)
        backlogs.push_back({backlog.service, encode(backlog.waits),
                            backlog.average_call_time.count(),
                            backlog.result_memory_share});
    return {message_tag::return_results, std::move(results),
            std::move(backlogs)};
}

json encode(model::release_results const& it)
{
    return {message_tag::release_results, it.service, it.handles};
}

json encode(model::cancel_pieces const& it)
{
    return {message_tag::cancel_pieces, it.requests};
}

json encode(model::report_crash const& it)
{
    return {message_tag::report_crash, it.fingerprint, it.cleared};
}

json encode(model::announce_stages const& it)
{
    auto list = json::array();
    for (auto const& stage : it.stages)
        list.push_back({stage.service, stage.request, stage.stage, stage.pieces,
                        encode(stage.priority), stage.due_in.count()});
    return {message_tag::announce_stages, std::move(list)};
}

json encode(model::crash_suspect const& it)
{
    return {it.kind, it.service, it.value};
}

json encode(std::vector<model::crash_verdict> const& verdicts)
{
    auto out = json::array();
    for (auto const& it : verdicts)
        out.push_back({encode(it.suspect), it.first_crash_age.count(),
                       it.last_crash_age.count()});
    return out;
}

json encode(std::vector<model::crash_suspect> const& suspects)
{
    auto out = json::array();
    for (auto const& it : suspects)
        out.push_back(encode(it));
    return out;
}

json encode(model::report_lost_run const& it)
{
    return {message_tag::report_lost_run, it.service, it.runner_id,
            it.answer_begun, encode(it.suspects)};
}

json encode(model::report_unreachable_runner const& it)
{
    return {message_tag::report_unreachable_runner, it.service, it.runner_id};
}

json encode(model::accuse_suspects const& it)
{
    return {message_tag::accuse_suspects, encode(it.verdicts)};
}

json encode(model::report_answered const& it)
{
    return {message_tag::report_answered, encode(it.suspects)};
}

json encode(model::report_rate_limit const& it)
{
    json out = {message_tag::report_rate_limit, it.runner_id, it.started_at_ms};
    if (it.per_s)
        out.push_back(*it.per_s);
    return out;
}

json encode(model::block_suspects const& it)
{
    return {message_tag::block_suspects, encode(it.verdicts)};
}

json encode(model::share_crash_records const& it)
{
    auto list = json::array();
    for (auto const& record : it.records)
        list.push_back({record.fingerprint, record.crashes,
                        record.last_crash_age.count()});
    return {message_tag::share_crash_records, std::move(list)};
}

decision::duration decode_duration(json const& value)
{
    return decision::duration(value.get<std::int64_t>());
}

//! Ages outside of this range would overflow when they are subtracted.
decision::duration decode_age(json const& value)
{
    constexpr decision::duration max_age = std::chrono::hours(1);
    return std::clamp(decode_duration(value), decision::duration::zero(),
                      max_age);
}

model::piece_outcome decode_outcome(json const& value)
{
    auto const n = value.get<int>();
    if (n < 0 || n > static_cast<int>(model::piece_outcome::inputs_read))
        return model::piece_outcome::failed;
    return static_cast<model::piece_outcome>(n);
}

model::dispatch_priority decode_priority(json const& value)
{
    model::dispatch_priority out;
    out.deferred = value.at(0).get<bool>();
    out.route_rank = value.at(1).get<int>();
    out.organisation_rank = value.at(2).get<int>();
    return out;
}

model::queue_forecast decode_forecast(json const& value)
{
    model::queue_forecast out;
    out.without_queue = decode_duration(value.at(0));
    for (std::size_t i = 1; i < value.size(); ++i)
    {
        model::queue_forecast::class_waits entry;
        entry.priority = decode_priority(value[i]);
        for (std::size_t n = 0; n < model::wait_profile::size; ++n)
            entry.waits.waits[n] =
                decode_duration(value[i].at(priority_values + n));
        entry.behind = decode_duration(
            value[i].at(priority_values + model::wait_profile::size));
        out.classes.push_back(entry);
    }
    return out;
}

model::submit_pieces decode_submit_pieces(json const& value)
{
    model::submit_pieces out;
    for (auto const& it : value.at(1))
    {
        model::piece piece;
        piece.request = it.at(0).get<model::request_ref>();
        piece.round = it.at(1).get<std::uint32_t>();
        piece.request_id = it.at(2).get<std::string>();
        piece.service = it.at(3).get<std::string>();
        piece.stage = it.at(4).get<std::uint32_t>();
        piece.number = it.at(5).get<std::uint32_t>();
        piece.key = it.at(6).get<std::string>();
        piece.inputs = it.at(7).get<std::vector<std::string>>();
        piece.domain = it.at(8).get<std::string>();
        piece.result_bytes = it.at(9).get<double>();
        piece.priority = decode_priority(it.at(10));
        piece.due_in = decode_duration(it.at(11));
        piece.latest_start_in = decode_duration(it.at(12));
        piece.time_left = decode_duration(it.at(13));
        out.pieces.push_back(std::move(piece));
    }
    return out;
}

model::announce_stages decode_announce_stages(json const& value)
{
    model::announce_stages out;
    for (auto const& it : value.at(1))
    {
        model::announced_stage stage;
        stage.service = it.at(0).get<std::string>();
        stage.request = it.at(1).get<model::request_ref>();
        stage.stage = it.at(2).get<std::uint32_t>();
        stage.pieces = it.at(3).get<std::uint32_t>();
        stage.priority = decode_priority(it.at(4));
        stage.due_in = decode_duration(it.at(5));
        out.stages.push_back(std::move(stage));
    }
    return out;
}

model::return_results decode_return_results(json const& value)
{
    model::return_results out;
    for (auto const& it : value.at(1))
    {
        model::piece_result result;
        result.service = it.at(0).get<std::string>();
        result.request = it.at(1).get<model::request_ref>();
        result.round = it.at(2).get<std::uint32_t>();
        result.stage = it.at(3).get<std::uint32_t>();
        result.number = it.at(4).get<std::uint32_t>();
        result.outcome = decode_outcome(it.at(5));
        result.handle = it.at(6).get<std::string>();
        out.results.push_back(std::move(result));
    }
    for (auto const& it : value.at(2))
    {
        model::backlog backlog;
        backlog.service = it.at(0).get<std::string>();
        backlog.waits = decode_forecast(it.at(1));
        backlog.average_call_time = decode_duration(it.at(2));
        backlog.result_memory_share = it.at(3).get<double>();
        out.backlogs.push_back(std::move(backlog));
    }
    return out;
}

//! Suspects of an unknown kind are left out.
bool decode_suspect(json const& value, model::crash_suspect& out)
{
    auto const kind = value.at(0).get<int>();
    out.service = value.at(1).get<std::uint64_t>();
    out.value = value.at(2).get<std::uint64_t>();
    if (kind < 0 || kind > static_cast<int>(model::suspect_kind::key))
        return false;
    out.kind = static_cast<model::suspect_kind>(kind);
    return true;
}

std::vector<model::crash_suspect> decode_suspects(json const& value)
{
    std::vector<model::crash_suspect> out;
    for (auto const& it : value)
    {
        model::crash_suspect suspect;
        if (decode_suspect(it, suspect))
            out.push_back(suspect);
    }
    return out;
}

std::vector<model::crash_verdict> decode_verdicts(json const& value)
{
    std::vector<model::crash_verdict> out;
    for (auto const& it : value)
    {
        model::crash_verdict verdict;
        verdict.first_crash_age = decode_age(it.at(1));
        verdict.last_crash_age = decode_age(it.at(2));
        if (decode_suspect(it.at(0), verdict.suspect))
            out.push_back(verdict);
    }
    return out;
}

model::report_lost_run decode_lost_run(json const& value)
{
    model::report_lost_run out;
    out.service = value.at(1).get<std::string>();
    out.runner_id = value.at(2).get<std::string>();
    out.answer_begun = value.at(3).get<bool>();
    out.suspects = decode_suspects(value.at(4));
    return out;
}

model::share_crash_records decode_crash_records(json const& value)
{
    model::share_crash_records out;
    for (auto const& it : value.at(1))
        out.records.push_back({it.at(0).get<std::uint64_t>(),
                               it.at(1).get<std::uint32_t>(),
                               decode_age(it.at(2))});
    return out;
}

model::report_rate_limit decode_rate_limit(json const& value)
{
    constexpr std::size_t size_with_limit = 4;
    model::report_rate_limit out;
    out.runner_id = value.at(1).get<std::string>();
    out.started_at_ms = value.at(2).get<std::int64_t>();
    if (value.size() == size_with_limit)
        out.per_s = value.at(3).get<double>();
    return out;
}

peer_message decode_message(json const& value)
{
    switch (static_cast<message_tag>(value.at(0).get<int>()))
    {
    case message_tag::submit_pieces:
        return decode_submit_pieces(value);
    case message_tag::return_results:
        return decode_return_results(value);
    case message_tag::release_results:
        return model::release_results{
            value.at(1).get<std::string>(),
            value.at(2).get<std::vector<std::string>>()};
    case message_tag::cancel_pieces:
        return model::cancel_pieces{
            value.at(1).get<std::vector<model::request_ref>>()};
    case message_tag::report_crash:
        return model::report_crash{value.at(1).get<std::uint64_t>(),
                                   value.at(2).get<bool>()};
    case message_tag::announce_stages:
        return decode_announce_stages(value);
    case message_tag::report_lost_run:
        return decode_lost_run(value);
    case message_tag::report_unreachable_runner:
        return model::report_unreachable_runner{value.at(1).get<std::string>(),
                                                value.at(2).get<std::string>()};
    case message_tag::accuse_suspects:
        return model::accuse_suspects{decode_verdicts(value.at(1))};
    case message_tag::report_answered:
        return model::report_answered{decode_suspects(value.at(1))};
    case message_tag::block_suspects:
        return model::block_suspects{decode_verdicts(value.at(1))};
    case message_tag::share_crash_records:
        return decode_crash_records(value);
    case message_tag::report_rate_limit:
        return decode_rate_limit(value);
    }
    // An unknown message type decodes to an empty message that has no effect.
    return model::submit_pieces{};
}

} // namespace

std::string encode_envelope(envelope const& value)
{
    auto messages = json::array();
    for (auto const& message : value.messages)
        messages.push_back(
            std::visit([](auto const& it) { return encode(it); }, message));
    json const document = {protocol_version, value.member, value.incarnation,
                           std::move(messages)};
    std::string out;
    json::to_cbor(document, out);
    return out;
}

std::optional<envelope> decode_envelope(std::string_view bytes)
{
    auto const parsed = documents::parse_cbor(bytes, cbor_limits);
    auto const& document = parsed.value;
    if (!document.is_array() || document.size() != 4 ||
        document[0] != protocol_version)
        return std::nullopt;
    try
    {
        envelope out;
        out.member = document[1].get<std::string>();
        out.incarnation = document[2].get<std::uint64_t>();
        for (auto const& it : document[3])
            out.messages.push_back(decode_message(it));
        return out;
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
}

} // namespace buckthornvale::gateway::peer
