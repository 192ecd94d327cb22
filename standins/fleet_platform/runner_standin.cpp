#include "runner_standin.hpp"

#include <buckthornvale/http/message_parser.hpp>
#include <buckthornvale/net/tcp_stream.hpp>

#include <asio/post.hpp>

namespace buckthornvale::standins::fleet_platform
{

namespace
{

using net::tcp_stream;
using nlohmann::json;

std::string encode_head(received_request const& request,
                        answer_head const& head)
{
    std::string out = "HTTP/1.1 " + head.status_line + "\r\n";
    if (head.names_request)
        out += "X-Request-Id: " + request.id + "\r\n";
    if (head.sealed)
        out += "X-Response-Seal: s\r\n";
    if (head.not_executed)
        out += "X-Not-Executed: reason\r\n";
    if (head.encoded)
        out += "Content-Encoding: gzip\r\n";
    if (head.leaving)
        out += "Server-Leaving: 1\r\n";
    if (!head.retry_after.empty())
        out += "Retry-After: " + head.retry_after + "\r\n";
    for (auto const& it : head.rate_limits)
        out += "Server-Limit: " + it + "\r\n";
    return out;
}

std::string sealed_head(received_request const& request)
{
    answer_head head;
    head.sealed = true;
    return encode_head(request, head);
}

} // namespace

//! Reads requests one after the other and writes what the script says.
class runner_standin::connection final
    : public tcp_stream::handler,
      public http::message_sink,
      public std::enable_shared_from_this<runner_standin::connection>
{
public:
    connection(runner_standin& owner, std::size_t number,
               asio::ip::tcp::socket socket)
        : owner_(owner), number_(number),
          stream_(std::make_shared<tcp_stream>(std::move(socket))),
          parser_(http::message_type::request, {}, *this)
    {
        stream_->attach(*this);
        stream_->start();
    }

    ~connection() override
    {
        stream_->detach();
        stream_->close();
    }

    void on_bytes(std::string_view bytes) override
    {
        while (!bytes.empty())
        {
            auto const n = parser_.feed(bytes);
            text_.append(bytes.substr(0, n));
            bytes.remove_prefix(n);
            if (!parser_.complete() || answered_early_)
                return;
            respond(owner_.answer_to(record_request()));
            parser_.next();
            text_.clear();
            body_.clear();
        }
    }

    void on_end(asio::error_code) override
    {
        endless_.clear();
        if (owner_.on_connection_end)
            owner_.on_connection_end(number_);
    }
    void on_written() override {}
    void on_head() override
    {
        if (!owner_.early_answer)
            return;
        answered_early_ = true;
        stream_->pause_reading();
        respond(owner_.early_answer(record_request()));
    }
    void on_body(std::string_view bytes) override { body_.append(bytes); }
    void on_complete() override {}

    void write(std::string_view bytes) { stream_->write(bytes); }
    void reset() { stream_->reset(); }

private:
    received_request const& record_request()
    {
        received_request request;
        request.text = text_;
        request.body = body_;
        request.path = parser_.request().path();
        request.stage_call = request.path == "/-/stage-run";
        auto const header = [&](std::string_view name)
        {
            return std::string(
                http::find_header(parser_.request().headers, name)
                    .value_or(""));
        };
        request.id = header("X-Request-Id");
        request.organisation = header("X-Tenant");
        request.expected_runner = header("X-Expect-Instance");
        request.inputs = header("X-Inputs");
        request.last_event_id = header("Last-Event-Id");
        request.connection = number_;
        owner_.received.push_back(request);
        return owner_.received.back();
    }

    void respond(scripted_answer const& answer)
    {
        if (answer.silent)
            return;
        stream_->write(answer.bytes);
        endless_ = answer.endless;
        write_endless();
        if (answer.reset)
            stream_->reset();
        else if (answer.close)
            stream_->shutdown_after_write();
    }

    void write_endless()
    {
        if (endless_.empty())
            return;
        if (stream_->queued() == 0)
        {
            owner_.endless_bytes += endless_.size();
            stream_->write(endless_);
        }
        asio::post(owner_.loop_,
                   [self = weak_from_this()]
                   {
                       if (auto const it = self.lock())
                           it->write_endless();
                   });
    }

    runner_standin& owner_;
    std::size_t const number_;
    std::shared_ptr<tcp_stream> stream_;
    http::message_parser parser_;
    std::string text_;
    std::string body_;
    std::string endless_; //!< rest of the current answer
    bool answered_early_ = false;
};

runner_standin::runner_standin(asio::io_context& loop, std::string id)
    : loop_(loop), id_(std::move(id)),
      acceptor_(loop, {asio::ip::make_address("127.0.0.1"), 0})
{
    accept();
}

void runner_standin::write(std::size_t connection_number,
                           std::string_view bytes)
{
    connections_[connection_number]->write(bytes);
}

void runner_standin::reset(std::size_t connection_number)
{
    connections_[connection_number]->reset();
}

std::string runner_standin::address() const
{
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

json runner_standin::entry(std::string const& service) const
{
    return {{"service", service}, {"address", address()}, {"zone", "north"},
            {"version", "v1"},    {"slots", 4},           {"state", "ready"},
            {"sequence", 1},      {"coldRemainingMs", 0}, {"born", 1}};
}

void runner_standin::accept()
{
    acceptor_.async_accept(
        [this](asio::error_code ec, asio::ip::tcp::socket socket)
        {
            if (ec)
                return;
            connections_.push_back(std::make_shared<connection>(
                *this, connections_.size(), std::move(socket)));
            accept();
        });
}

scripted_answer runner_standin::with_head(received_request const& request,
                                          answer_head const& head,
                                          std::string const& body)
{
    scripted_answer out;
    out.bytes = encode_head(request, head) +
                "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                body;
    return out;
}

scripted_answer runner_standin::proper(received_request const& request,
                                       std::string const& body)
{
    answer_head head;
    head.sealed = true;
    return with_head(request, head, body);
}

scripted_answer runner_standin::without_length(received_request const& request,
                                               std::string const& body)
{
    scripted_answer out;
    out.bytes = sealed_head(request) + "\r\n" + body;
    out.close = true;
    return out;
}

scripted_answer runner_standin::encoded(received_request const& request,
                                        std::string const& body)
{
    answer_head head;
    head.sealed = head.encoded = true;
    return with_head(request, head, body);
}

std::string runner_standin::stream_head(received_request const& request)
{
    return sealed_head(request) + "Content-Type: text/event-stream\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n";
}

scripted_answer runner_standin::stage_answer(received_request const& request)
{
    auto const items = json::parse(request.body).at("items");
    auto results = json::array();
    for (std::size_t n = 0; n < items.size(); ++n)
        results.push_back(
            {{"handle", address() + "/" + std::to_string(next_handle_++)}});
    auto const body = json{{"items", results}}.dump();
    auto out = proper(request, body);
    out.body = body;
    return out;
}

scripted_answer runner_standin::answer_to(received_request const& request)
{
    if (!script.empty())
    {
        auto const next = std::move(script.front());
        script.pop_front();
        return next(request);
    }
    if (usual_answer)
        return usual_answer(request);
    if (request.stage_call)
        return stage_answer(request);
    // An event, because routes of streams accept nothing else.
    return proper(request, "data: body of " + request.id + "\n\n");
}

} // namespace buckthornvale::standins::fleet_platform
