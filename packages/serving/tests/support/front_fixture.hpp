#ifndef BUCKTHORNVALE_SERVING_TESTS_SUPPORT_FRONT_FIXTURE_HPP
#define BUCKTHORNVALE_SERVING_TESTS_SUPPORT_FRONT_FIXTURE_HPP

#include "support/wait.hpp"
#include <buckthornvale/serving/http/http_front.hpp>

#include <gtest/gtest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <future>

namespace buckthornvale::serving::tests
{

namespace requests = decision::requests;

//! Keeps what the front hands over.
struct fake_sink : http::request_sink
{
    inbox<requests::request_received> submitted;
    inbox<requests::caller_gone> left;
    inbox<requests::outcome_queried> asked;

    void submit(requests::request_received message) override
    {
        submitted.add(std::move(message));
    }
    void gone(requests::caller_gone message) override { left.add(message); }
    void ask(requests::outcome_queried message) override
    {
        asked.add(std::move(message));
    }
};

inline requests::answer completed(std::string bytes, bool is_text = false)
{
    requests::answer value;
    value.result_kind = requests::outcome::completed;
    value.result = std::make_shared<requests::stage_output const>(
        requests::stage_output{std::move(bytes), is_text});
    return value;
}

inline requests::answer failed(requests::outcome kind,
                               decision::error_kind reason)
{
    requests::answer value;
    value.result_kind = kind;
    value.failure.kind = reason;
    return value;
}

//! A plain TCP caller, for what an HTTP client does not do.
class raw_caller
{
public:
    explicit raw_caller(std::uint16_t port);
    ~raw_caller();
    void send(std::string const& text) const;
    //! Everything until the front closes the connection.
    std::string read_all() const;
    //! Reads until the text was seen or the connection ended.
    std::string read_until(std::string const& text) const;
    void hang_up();

private:
    int socket_;
};

//! A running front with a fake sink behind it.
class front_test : public testing::Test
{
protected:
    static http::front_settings default_settings();
    void start_front(http::front_settings settings = default_settings());

    std::string post_text(std::string const& body) const;
    std::future<httplib::Result> post(std::string body,
                                      httplib::Headers headers = {
                                          {"Authorization", "Bearer key"}});
    httplib::Result get(std::string const& path,
                        httplib::Headers const& headers = {});

    fake_sink sink;
    bool ready = true;
    inbox<int> drains;
    std::unique_ptr<http::http_front> front;
};

constexpr char good_body[] =
    R"({"organisation":"orchard","rank":"urgent","deadline_ms":3000,)"
    R"("input":{"n": 1.50}})";

constexpr char streamed_body[] =
    R"({"organisation":"orchard","rank":"urgent","deadline_ms":3000,)"
    R"("stream":true,"input":1})";

} // namespace buckthornvale::serving::tests

#endif
