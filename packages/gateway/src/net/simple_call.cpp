#include <buckthornvale/gateway/net/simple_call.hpp>
#include <buckthornvale/platform/headers.hpp>

namespace buckthornvale::gateway::net
{

namespace
{

//! Collects an answer.
class simple_call final : public answer_handler
{
public:
    explicit simple_call(call_done done) : done_(std::move(done)) {}

    bool on_answer_head(http::response_head const& head) override
    {
        result_.head = head;
        return true;
    }

    void on_answer_body(std::string_view bytes) override
    {
        result_.body.append(bytes);
    }

    void on_answer_end() override { done_(result_); }

    void on_answer_failed(call_failure failure, bool) override
    {
        result_.failure = failure;
        done_(result_);
    }

private:
    call_done done_;
    call_result result_;
};

} // namespace

call_id make_call(http_client& client, std::string const& address,
                  own_call call, call_options const& options, call_done done)
{
    auto head =
        platform::encode_own_request(call.method, call.target, address,
                                     call.body.size(), call.expected_runner);
    return client.call(
        address, std::move(head),
        std::make_shared<std::string const>(std::move(call.body)), options,
        std::make_shared<simple_call>(std::move(done)));
}

} // namespace buckthornvale::gateway::net
