#include <buckthornvale/decision/admission/decayed_rate.hpp>
#include <buckthornvale/decision/admission/organisation_table.hpp>

namespace buckthornvale::decision::admission
{

namespace
{

//! Bounds the work of one call; drops still outpace new organisations.
constexpr int drops_per_call = 64;

} // namespace

void organisation_record::decay(duration memory, time_point now)
{
    auto const factor = static_cast<float>(decay_factor(now - updated, memory));
    request_rate *= factor;
    for (auto& it : cost_rate)
        it *= factor;
    updated = now;
}

organisation_table::organisation_table(duration idle, duration memory)
    : idle_(idle), memory_(memory)
{
}

organisation_record& organisation_table::touch(organisation_id id,
                                               time_point now)
{
    auto& slot = records_[id];
    if (!slot)
    {
        slot = std::make_unique<organisation_record>();
        slot->id = id;
        slot->updated = now;
        slot->bucket_time = now;
        slot->position = by_activity_.insert(by_activity_.end(), slot.get());
        return *slot;
    }
    slot->decay(memory_, now);
    by_activity_.splice(by_activity_.end(), by_activity_, slot->position);
    return *slot;
}

organisation_record* organisation_table::find(organisation_id id)
{
    auto const it = records_.find(id);
    return it == records_.end() ? nullptr : it->second.get();
}

organisation_record const* organisation_table::find(organisation_id id) const
{
    auto const it = records_.find(id);
    return it == records_.end() ? nullptr : it->second.get();
}

void organisation_table::drop_idle(time_point now)
{
    for (int n = 0; n < drops_per_call && !by_activity_.empty(); ++n)
    {
        auto* const record = by_activity_.front();
        if (now - record->updated < idle_)
            return;
        if (record->in_flight > 0)
        {
            record->decay(memory_, now);
            by_activity_.splice(by_activity_.end(), by_activity_,
                                by_activity_.begin());
            continue;
        }
        by_activity_.pop_front();
        records_.erase(record->id);
    }
}

} // namespace buckthornvale::decision::admission
