#include "shell.hpp"

#include <iostream>

using namespace buckthornvale::decision;

namespace
{

// SHA-256 of the caller's bearer key as 64 hexadecimal digits.
constexpr char key_digest[] = "0123456789abcdef0123456789abcdef"
                              "0123456789abcdef0123456789abcdef";

pool_settings pool_with_one_runner(std::string const& name, std::uint16_t port)
{
    pool_settings pool;
    pool.name = name;
    pool.kind = runner_kind::service;
    runner_settings runner;
    runner.name = name + "-1";
    runner.host = "127.0.0.1";
    runner.port = port;
    runner.failure_domain = "north";
    runner.slots = 4.;
    pool.runners.push_back(runner);
    return pool;
}

stage_settings stage(std::string const& name, std::string const& pool)
{
    stage_settings value;
    value.name = name;
    value.pool = pool;
    value.expected = std::chrono::milliseconds(30);
    return value;
}

//! Settings with one pipeline of two sequential stages, each with its own
//! pool.
fleet_settings two_stage_settings()
{
    fleet_settings settings;
    settings.revision = 1;
    for (auto& it : settings.ranks)
    {
        it.target = std::chrono::seconds(1);
        it.guaranteed_share = 0.3;
    }
    settings.pools["lookup"] = pool_with_one_runner("lookup", 9001);
    settings.pools["pricing"] = pool_with_one_runner("pricing", 9002);

    pipeline_settings pipeline;
    pipeline.name = "quote";
    pipeline.deadline = std::chrono::seconds(3);
    pipeline.stages = {stage("find", "lookup"), stage("price", "pricing")};
    pipeline.stages[1].after = {"find"};
    settings.pipelines["quote"] = pipeline;

    organisation_settings organisation;
    organisation.name = "clearers";
    organisation.key_sha256 = key_digest;
    settings.organisations["clearers"] = organisation;
    return settings;
}

requests::caller_request quote_request()
{
    requests::caller_request call;
    call.pipeline = "quote";
    call.organisation = "clearers";
    call.key_sha256 = key_digest;
    call.work_rank = rank::urgent;
    call.deadline = std::chrono::seconds(2);
    call.input = "{\"moles\":3}";
    return call;
}

} // namespace

int main()
{
    auto const settings = two_stage_settings();
    embed_decision::shell shell;
    shell.install(settings);
    shell.advance(std::chrono::milliseconds(10));
    shell.submit(quote_request());
    shell.advance(std::chrono::milliseconds(100));
    if (shell.idle())
        return 0;
    std::cerr << "a request has no answer\n";
    return 1;
}
