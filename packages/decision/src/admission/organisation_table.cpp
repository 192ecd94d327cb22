#include <buckthornvale/decision/admission/decayed_rate.hpp>
#include <buckthornvale/decision/admission/organisation_table.hpp>

namespace buckthornvale::decision::admission
{

namespace
{

//! Bounds the work of one call; eviction is still faster than the arrival of
//! new organisations.
constexpr int max_drops_per_call = 64;

} // namespace

void organisation_record::decay(duration time_constant, time_point now)
{
    auto const factor =
        static_cast<float>(decay_factor(now - updated, time_constant));
    request_rate *= factor;
    for (auto& it : cost_rate)
        it *= factor;
    updated = now;
}

organisation_table::organisation_table(duration idle_timeout,
                                       duration time_constant)
    : idle_timeout_(idle_timeout), time_constant_(time_constant)
{
}

organisation_record& organisation_table::touch(organisation_id id,
                                               time_point now)
{
    auto& entry = records_[id];
    if (!entry)
    {
        entry = std::make_unique<organisation_record>();
        entry->id = id;
        entry->updated = now;
        entry->bucket_refilled_at = now;
        entry->activity_position =
            by_activity_.insert(by_activity_.end(), entry.get());
        return *entry;
    }
    entry->decay(time_constant_, now);
    by_activity_.splice(by_activity_.end(), by_activity_,
                        entry->activity_position);
    return *entry;
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
    for (int n = 0; n < max_drops_per_call && !by_activity_.empty(); ++n)
    {
        auto* const record = by_activity_.front();
        if (now - record->updated < idle_timeout_)
            return;
        if (record->in_flight > 0)
        {
            record->decay(time_constant_, now);
            by_activity_.splice(by_activity_.end(), by_activity_,
                                by_activity_.begin());
            continue;
        }
        by_activity_.pop_front();
        records_.erase(record->id);
    }
}

} // namespace buckthornvale::decision::admission
