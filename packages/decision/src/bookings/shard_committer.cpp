#include <buckthornvale/decision/bookings/shard_committer.hpp>

#include <algorithm>
#include <utility>

namespace buckthornvale::decision::bookings
{

namespace
{

// Tokens of the cleaner are odd, those of the committer even.
constexpr store_token token_step = 2;

constexpr int max_backoff_doublings = 10;

update_answer answer_of(shard_update const& update, update_verdict verdict)
{
    update_answer answer;
    answer.kind = update.kind;
    answer.shard = update.shard;
    answer.id = update.id;
    answer.incarnation = update.incarnation;
    answer.nonce = update.nonce;
    answer.verdict = verdict;
    return answer;
}

bool is_claim_or_query(update_kind kind)
{
    return kind == update_kind::claim || kind == update_kind::query;
}

bool is_final(update_kind kind)
{
    return kind == update_kind::completed || kind == update_kind::unknown ||
           kind == update_kind::release;
}

} // namespace

shard_committer::shard_committer(booking_settings const& settings,
                                 std::uint64_t seed)
    : settings_(settings), random_(seed)
{
}

void shard_committer::submit(shard_update const& update, vm_id origin,
                             time_point expires, time_point now,
                             booking_effects& out, answers& done)
{
    auto const known = shards_.contains(update.shard);
    if (!known && shards_.size() >= settings_.max_shards)
        evict(now);
    if (!known && shards_.size() >= settings_.max_shards)
    {
        done.push_back(
            {origin, answer_of(update, update_verdict::unavailable)});
        return;
    }
    auto& state = shards_[update.shard];
    state.last_used = now;
    bool const failing = state.failures > 0 && now < state.retry_at;
    bool const full = state.queue.size() >= settings_.max_queue;
    if (full || (failing && is_claim_or_query(update.kind)))
    {
        done.push_back(
            {origin, answer_of(update, update_verdict::unavailable)});
        return;
    }
    // A final state supersedes the update that the attempt was sent.
    if (is_final(update.kind))
    {
        auto const superseded = [&](waiting_update const& it)
        {
            return it.update.kind == update_kind::dispatched &&
                   it.update.nonce == update.nonce;
        };
        state.queue.erase(
            std::remove_if(state.queue.begin(), state.queue.end(), superseded),
            state.queue.end());
    }
    state.queue.push_back({update, origin, now, expires, std::nullopt});
    start_next_call(update.shard, state, now, out, done);
}

bool shard_committer::is_due(shard_state const& state, time_point now) const
{
    if (state.queue.empty() || now < state.retry_at)
        return false;
    for (auto const& it : state.queue)
    {
        auto const age = now - it.queued_at;
        if (it.update.kind == update_kind::query)
            return true;
        if (now < state.next_write_at)
            continue;
        if (it.update.kind == update_kind::claim)
        {
            if (age >= settings_.batch_delay)
                return true;
        }
        else if (is_final(it.update.kind) && age >= settings_.completion_delay)
        {
            return true;
        }
    }
    return false;
}

bool shard_committer::needs_read(shard_state const& state, time_point now) const
{
    if (!state.document)
        return true;
    if (now - state.validated_at < settings_.max_unfinished_age)
        return false;
    for (auto const& it : state.queue)
    {
        if (!is_claim_or_query(it.update.kind))
            continue;
        auto const* entry = state.document->find(it.update.id);
        if (entry == nullptr)
        {
            // Only a read or a write proves that a claim is absent.
            if (it.update.kind == update_kind::query)
                return true;
            continue;
        }
        if (entry->state != claim_state::completed)
            return true;
    }
    return false;
}

void shard_committer::start_next_call(shard_address address, shard_state& state,
                                      time_point now, booking_effects& out,
                                      answers& done)
{
    if (now < state.retry_at)
        return;
    if (state.current_phase == phase::verifying && state.token == 0)
    {
        start_read(address, state, phase::verifying, now, out);
        return;
    }
    if (state.current_phase != phase::idle || !is_due(state, now))
        return;
    if (needs_read(state, now))
        start_read(address, state, phase::reading, now, out);
    else
        start_write(address, state, now, out, done);
}

void shard_committer::start_read(shard_address address, shard_state& state,
                                 phase next, time_point now,
                                 booking_effects& out)
{
    next_token_ += token_step;
    state.current_phase = next;
    state.token = next_token_;
    state.call_started = now;
    calls_[state.token] = address;
    ++counters_.reads;
    out.push_back(read_object{state.token, path_of(address)});
}

bool shard_committer::apply_waiting(shard_state& state, waiting_update& it,
                                    bool modified, answers& done)
{
    auto const change = state.document->apply(
        it.update, settings_.max_claim_bytes, settings_.max_value_bytes);
    auto const* entry = state.document->find(it.update.id);
    bool const reads = is_claim_or_query(it.update.kind);
    // The cached document may be outdated. Only a write proves that the store
    // does not have the claim that the update refers to.
    bool const not_found =
        !reads && (entry == nullptr || !is_same_claim(*entry, it.update));
    // A write with a new version invalidates an earlier write of unknown
    // outcome.
    bool const must_write =
        change.modified || not_found || it.uncertain_version.has_value();
    auto const same_id = [&](waiting_update const& other)
    { return other.update.id == it.update.id; };
    bool const overlaps =
        std::any_of(state.batch.begin(), state.batch.end(), same_id);
    if (not_found)
    {
        state.batch.push_back(std::move(it));
        return true;
    }
    auto answer = answer_of(it.update, change.verdict);
    answer.reason = change.reason;
    switch (change.verdict)
    {
    case update_verdict::applied:
        // Even without a change of its own, the answer may depend on an update
        // of the batch.
        if (must_write || modified)
        {
            state.batch.push_back(std::move(it));
            return must_write;
        }
        break;
    case update_verdict::existing:
        // Claims added by the batch are not in the store yet.
        if (overlaps)
        {
            state.queue.push_back(std::move(it));
            return false;
        }
        answer.entry = *entry;
        break;
    default:
        if (it.uncertain_version)
        {
            state.queue.push_back(std::move(it));
            return true;
        }
        break;
    }
    done.push_back({it.origin, std::move(answer)});
    return false;
}

void shard_committer::start_write(shard_address address, shard_state& state,
                                  time_point now, booking_effects& out,
                                  answers& done)
{
    std::vector<waiting_update> waiting;
    waiting.swap(state.queue);
    bool modified = false;
    // While the rate limit forbids a write, only queries are answered.
    bool const may_write = now >= state.next_write_at;
    for (auto& it : waiting)
    {
        if (may_write || it.update.kind == update_kind::query)
            modified = apply_waiting(state, it, modified, done) || modified;
        else
            state.queue.push_back(std::move(it));
    }
    if (!modified)
        return;
    next_token_ += token_step;
    state.current_phase = phase::writing;
    state.token = next_token_;
    state.call_started = now;
    state.next_write_at =
        now + from_seconds(settings_.shards / settings_.writes_per_second);
    calls_[state.token] = address;
    write_object write{state.token, path_of(address), state.version,
                       state.document->encode()};
    ++counters_.writes;
    counters_.written_updates += state.batch.size();
    counters_.written_bytes += write.value.size();
    out.push_back(std::move(write));
}

bool shard_committer::store_answer(bookings::store_answer const& answer,
                                   time_point now, booking_effects& out,
                                   answers& done)
{
    if (answer.token % token_step != 0)
        return false;
    auto const call = calls_.find(answer.token);
    if (call == calls_.end())
        return true;
    auto const address = call->second;
    calls_.erase(call);
    auto& state = shards_[address];
    if (state.token != answer.token)
        return true;
    state.token = 0;
    if (state.current_phase == phase::writing)
        write_done(state, answer, now, done);
    else
        read_done(state, answer, now, done);
    expire_claims(state, now, done);
    start_next_call(address, state, now, out, done);
    return true;
}

bool shard_committer::load_document(shard_state& state, std::uint64_t version,
                                    std::string const& value, bool absent,
                                    time_point now, answers& done)
{
    state.document.reset();
    if (absent)
    {
        state.document.emplace();
        version = 0;
    }
    else
    {
        auto decoded = shard_document::decode(value);
        if (!decoded.ok())
        {
            ++counters_.damaged;
            back_off(state, now, done);
            return false;
        }
        state.document = *std::move(decoded);
    }
    state.version = version;
    state.validated_at = now;
    // A write that is conditional on another version can no longer take effect.
    for (auto& it : state.queue)
    {
        if (it.uncertain_version && *it.uncertain_version != version)
            it.uncertain_version.reset();
    }
    state.failures = 0;
    answer_decided(state, done);
    return true;
}

void shard_committer::answer_decided(shard_state& state, answers& done)
{
    std::vector<waiting_update> kept;
    for (auto& it : state.queue)
    {
        auto const* entry = it.update.kind == update_kind::claim
                                ? state.document->find(it.update.id)
                                : nullptr;
        if (entry == nullptr || it.uncertain_version)
        {
            kept.push_back(std::move(it));
            continue;
        }
        bool const own = is_same_claim(*entry, it.update);
        auto answer = answer_of(it.update, own ? update_verdict::applied
                                               : update_verdict::existing);
        if (!own)
            answer.entry = *entry;
        done.push_back({it.origin, std::move(answer)});
    }
    state.queue = std::move(kept);
}

void shard_committer::requeue_batch(shard_state& state)
{
    state.queue.insert(state.queue.begin(),
                       std::make_move_iterator(state.batch.begin()),
                       std::make_move_iterator(state.batch.end()));
    state.batch.clear();
}

void shard_committer::read_done(shard_state& state,
                                bookings::store_answer const& answer,
                                time_point now, answers& done)
{
    bool const verifying = state.current_phase == phase::verifying;
    bool const absent = answer.status == store_status::absent;
    if (!absent && answer.status != store_status::ok)
    {
        // Without an answer the outcome of a lost write remains unknown; it is
        // read again later.
        back_off(state, now, done);
        state.current_phase = verifying ? phase::verifying : phase::idle;
        return;
    }
    if (verifying)
        requeue_batch(state);
    state.current_phase = phase::idle;
    load_document(state, answer.version, answer.value, absent, now, done);
}

void shard_committer::write_done(shard_state& state,
                                 bookings::store_answer const& answer,
                                 time_point now, answers& done)
{
    state.current_phase = phase::idle;
    switch (answer.status)
    {
    case store_status::ok:
        state.version = answer.version;
        state.validated_at = now;
        state.failures = 0;
        for (auto const& it : state.batch)
        {
            done.push_back(
                {it.origin, answer_of(it.update, update_verdict::applied)});
        }
        state.batch.clear();
        // Writes of unknown outcome were conditional on an older version.
        for (auto& it : state.queue)
            it.uncertain_version.reset();
        return;
    case store_status::conflict:
        ++counters_.conflicts;
        requeue_batch(state);
        load_document(state, answer.version, answer.value, answer.version == 0,
                      now, done);
        return;
    case store_status::unavailable:
        requeue_batch(state);
        state.document.reset();
        back_off(state, now, done);
        return;
    default:
        ++counters_.unknown_writes;
        for (auto& it : state.batch)
            it.uncertain_version = state.version;
        state.document.reset();
        state.current_phase = phase::verifying;
        return;
    }
}

void shard_committer::back_off(shard_state& state, time_point now,
                               answers& done)
{
    auto const doublings = std::min(state.failures, max_backoff_doublings);
    auto const wait = std::min(settings_.backoff_first * (1 << doublings),
                               settings_.backoff_last);
    auto const half_wait = std::max<std::int64_t>(1, wait.count() / 2);
    ++state.failures;
    state.retry_at = now + duration(half_wait + random_() % half_wait);
    reject_unwritten(state, update_verdict::unavailable, done);
}

void shard_committer::reject_unwritten(shard_state& state,
                                       update_verdict verdict, answers& done)
{
    std::vector<waiting_update> kept;
    for (auto& it : state.queue)
    {
        if (is_claim_or_query(it.update.kind) && !it.uncertain_version)
            done.push_back({it.origin, answer_of(it.update, verdict)});
        else
            kept.push_back(std::move(it));
    }
    state.queue = std::move(kept);
}

void shard_committer::expire_claims(shard_state& state, time_point now,
                                    answers& done)
{
    std::vector<waiting_update> kept;
    for (auto& it : state.queue)
    {
        if (it.update.kind != update_kind::claim || it.expires > now)
        {
            kept.push_back(std::move(it));
            continue;
        }
        auto const verdict = it.uncertain_version ? update_verdict::unsettled
                                                  : update_verdict::unavailable;
        done.push_back({it.origin, answer_of(it.update, verdict)});
        if (!it.uncertain_version)
            continue;
        // The claim may be in the store but will not be run: release it.
        it.update.kind = update_kind::release;
        kept.push_back(std::move(it));
    }
    state.queue = std::move(kept);
}

void shard_committer::tick(time_point now, booking_effects& out, answers& done)
{
    for (auto& it : shards_)
    {
        auto& state = it.second;
        if (state.token != 0 &&
            now - state.call_started >= settings_.store_timeout)
        {
            calls_.erase(state.token);
            bookings::store_answer lost;
            lost.token = std::exchange(state.token, 0);
            if (state.current_phase == phase::writing)
                write_done(state, lost, now, done);
            else
                read_done(state, lost, now, done);
        }
        expire_claims(state, now, done);
        start_next_call(it.first, state, now, out, done);
    }
    evict(now);
}

duration shard_committer::retry_after(shard_address address,
                                      time_point now) const
{
    auto const it = shards_.find(address);
    if (it == shards_.end())
        return settings_.backoff_first;
    return std::max(it->second.retry_at - now, settings_.backoff_first);
}

std::size_t shard_committer::cached_bytes() const
{
    std::size_t sum = 0;
    for (auto const& it : shards_)
        sum += it.second.document ? it.second.document->bytes() : 0;
    return sum;
}

void shard_committer::evict(time_point now)
{
    auto bytes = cached_bytes();
    while (bytes > settings_.cache_bytes ||
           shards_.size() >= settings_.max_shards)
    {
        auto oldest = shards_.end();
        for (auto it = shards_.begin(); it != shards_.end(); ++it)
        {
            auto const& state = it->second;
            bool const idle = state.current_phase == phase::idle &&
                              state.queue.empty() && now >= state.next_write_at;
            if (idle && (oldest == shards_.end() ||
                         state.last_used < oldest->second.last_used))
                oldest = it;
        }
        if (oldest == shards_.end())
            return;
        bytes -= oldest->second.document ? oldest->second.document->bytes() : 0;
        shards_.erase(oldest);
    }
}

} // namespace buckthornvale::decision::bookings
