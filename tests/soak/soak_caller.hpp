#ifndef BUCKTHORNVALE_TESTS_SOAK_SOAK_CALLER_HPP
#define BUCKTHORNVALE_TESTS_SOAK_SOAK_CALLER_HPP

#include "gateway_vm.hpp"
#include "request_ledger.hpp"
#include <buckthornvale/http/message_parser.hpp>
#include <buckthornvale/net/tcp_stream.hpp>

#include <memory>
#include <random>

namespace buckthornvale::soak
{

//! A caller that sends one request after the other on a connection, with
//! pauses, until the VM closes it or its process is gone. Then it opens another
//! one.
class soak_caller final : public net::tcp_stream::handler,
                          public http::message_sink
{
public:
    //! Callers choose among the VMs, which outlive them. `idle_timeout` is that
    //! of the newest manifest.
    soak_caller(asio::io_context& loop, std::string name,
                std::vector<std::unique_ptr<gateway_vm>>& vms,
                request_ledger& ledger, duration const& idle_timeout,
                std::uint64_t seed);
    ~soak_caller() override;

    //! Connects, sends or gives up, as is due. Without `may_send`, no new
    //! request is begun.
    void tick(time_point now, bool may_send);

    //! True while a request has no answer.
    bool waiting() const { return !request_id_.empty(); }

    // net::tcp_stream::handler
    void on_bytes(std::string_view bytes) override;
    void on_end(asio::error_code ec) override;
    void on_written() override {}

    // http::message_sink
    void on_head() override {}
    void on_body(std::string_view bytes) override { body_.append(bytes); }
    void on_complete() override {}

private:
    void connect();
    void send_request(time_point now);
    void send_rest(time_point now);
    //! True if the VM timed out because this program was late with the second
    //! part of a request.
    bool is_timeout_of_head(int status) const;
    void finish_answer();
    void close();

    asio::io_context& loop_;
    std::string const name_;
    std::vector<std::unique_ptr<gateway_vm>>& vms_;
    request_ledger& ledger_;
    duration const& idle_timeout_;
    std::mt19937_64 random_;
    std::shared_ptr<net::tcp_stream> stream_;
    std::unique_ptr<http::message_parser> parser_;
    gateway_vm* vm_ = nullptr;
    std::string body_;
    std::string request_id_; //!< of the request without an answer, or empty
    std::string expected_body_;
    std::string unsent_; //!< second part of the request
    time_point unsent_due_{};
    time_point now_{};
    time_point sent_at_{};
    bool connected_ = false;
    time_point connect_deadline_{};
    time_point next_at_{}; //!< when to send or connect next
    int request_count_ = 0;
};

} // namespace buckthornvale::soak

#endif
