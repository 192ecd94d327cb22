#include <buckthornvale/gateway/net/simple_call.hpp>

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

void make_call(http_client& client, std::string const& address,
               std::string head, std::string body, call_options const& options,
               call_done done)
{
    client.call(address, std::move(head),
                std::make_shared<std::string const>(std::move(body)), options,
                std::make_shared<simple_call>(std::move(done)));
}

} // namespace buckthornvale::gateway::net
