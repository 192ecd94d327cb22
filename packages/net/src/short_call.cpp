#include <buckthornvale/http/text.hpp>
#include <buckthornvale/net/short_call.hpp>

namespace buckthornvale::net
{

namespace
{

//! Buffers a response up to a size limit.
class response_collector final : public answer_handler
{
public:
    response_collector(std::size_t max_bytes, call_done done)
        : max_bytes_(max_bytes), done_(std::move(done))
    {
    }

    void set_history(std::shared_ptr<answer_history> history)
    {
        result_.history = std::move(history);
    }

    response_match on_answer_head(http::response_head const& head) override
    {
        result_.head = head;
        auto const length = http::find_header(head.headers, "Content-Length");
        exceeds_limit_ =
            length && http::parse_number(*length).value_or(0) > max_bytes_;
        return response_match::expected;
    }

    bool on_answer_body(std::string_view bytes) override
    {
        result_.too_large =
            exceeds_limit_ || result_.body.size() + bytes.size() > max_bytes_;
        if (!result_.too_large)
            result_.body.append(bytes);
        return !result_.too_large;
    }

    void on_answer_end() override { done_(result_); }

    void on_answer_failed(call_failure failure, bool) override
    {
        result_.failure = failure;
        done_(result_);
    }

private:
    std::size_t max_bytes_;
    call_done done_;
    call_result result_;
    bool exceeds_limit_ = false; //!< by its stated length
};

} // namespace

call_id make_call(http_client& client, std::string const& address,
                  short_request request, call_options const& options,
                  call_done done)
{
    auto const collector = std::make_shared<response_collector>(
        request.max_answer_bytes, std::move(done));
    auto const call = client.call(
        address, std::move(request.head),
        std::make_shared<std::string const>(std::move(request.body)), options,
        collector);
    collector->set_history(client.history_of(call));
    return call;
}

} // namespace buckthornvale::net
