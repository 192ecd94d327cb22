#include <buckthornvale/gateway/net/simple_call.hpp>

namespace buckthornvale::gateway::net
{

namespace
{

//! Owns itself until its call has ended.
class simple_call final : public answer_handler
{
public:
    explicit simple_call(call_done done) : done_(std::move(done)) {}

    void keep(std::shared_ptr<simple_call> self) { self_ = std::move(self); }

    bool on_answer_head(http::response_head const& head) override
    {
        result_.head = head;
        return true;
    }

    void on_answer_body(std::string_view bytes) override
    {
        result_.body.append(bytes);
    }

    void on_answer_end() override
    {
        auto const self = std::move(self_);
        done_(result_);
    }

    void on_answer_failed(call_failure failure, bool) override
    {
        auto const self = std::move(self_);
        result_.failure = failure;
        done_(result_);
    }

private:
    call_done done_;
    call_result result_;
    std::shared_ptr<simple_call> self_;
};

} // namespace

void make_call(http_client& client, std::string const& address,
               std::string head, std::string body, call_options const& options,
               call_done done)
{
    auto const handler = std::make_shared<simple_call>(std::move(done));
    handler->keep(handler);
    client.call(address, std::move(head),
                std::make_shared<std::string const>(std::move(body)), options,
                *handler);
}

} // namespace buckthornvale::gateway::net
