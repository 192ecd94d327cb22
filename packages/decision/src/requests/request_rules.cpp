#include <buckthornvale/decision/requests/request_rules.hpp>

#include <algorithm>

namespace buckthornvale::decision::requests
{

namespace
{

// Compares all bytes even after a difference, so that the run time does not
// reveal how much of a digest was guessed correctly.
bool equal_in_constant_time(std::string_view a, std::string_view b)
{
    if (a.size() != b.size())
        return false;
    unsigned char difference = 0;
    for (std::size_t n = 0; n < a.size(); ++n)
        difference |= static_cast<unsigned char>(a[n] ^ b[n]);
    return difference == 0;
}

bool may_use(organisation_settings const& organisation,
             std::string const& pipeline)
{
    auto const& allowed = organisation.pipelines;
    return allowed.empty() ||
           std::find(allowed.begin(), allowed.end(), pipeline) != allowed.end();
}

error check_idempotency(pipeline_settings const& pipeline,
                        caller_request const& call)
{
    auto const non_repeatable = [](stage_settings const& it)
    { return !it.repeatable; };
    auto const& stages = pipeline.stages;
    if (std::none_of(stages.begin(), stages.end(), non_repeatable))
        return {};
    if (call.idempotency_key.empty() || !call.issued_at)
        return {error_kind::missing_idempotency_key, pipeline.name};
    if (call.idempotency_key.size() > max_idempotency_key_bytes)
    {
        return {error_kind::malformed_request,
                "idempotency_key is longer than 128 bytes"};
    }
    return {};
}

} // namespace

error check_organisation(fleet_settings const& settings,
                         std::string_view organisation,
                         std::string_view key_sha256)
{
    auto const it = settings.organisations.find(std::string(organisation));
    if (it == settings.organisations.end() || it->second.key_sha256.empty() ||
        !equal_in_constant_time(it->second.key_sha256, key_sha256))
    {
        return {error_kind::unauthenticated, {}};
    }
    return {};
}

error check_request(fleet_settings const& settings, caller_request const& call)
{
    if (auto failure =
            check_organisation(settings, call.organisation, call.key_sha256))
    {
        return failure;
    }
    auto const pipeline = settings.pipelines.find(call.pipeline);
    if (pipeline == settings.pipelines.end())
        return {error_kind::unknown_pipeline, call.pipeline};
    auto const& organisation = settings.organisations.at(call.organisation);
    if (!may_use(organisation, call.pipeline))
        return {error_kind::forbidden, call.pipeline};
    if (call.deadline <= duration::zero() ||
        call.deadline > pipeline->second.deadline)
    {
        return {error_kind::deadline_passed, {}};
    }
    return check_idempotency(pipeline->second, call);
}

} // namespace buckthornvale::decision::requests
