#ifndef BUCKTHORNVALE_STANDINS_FLEET_PLATFORM_RUNNER_STANDIN_HPP
#define BUCKTHORNVALE_STANDINS_FLEET_PLATFORM_RUNNER_STANDIN_HPP

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornvale::standins::fleet_platform
{

//! A request as a runner received it.
struct received_request
{
    std::string text; //!< head and body
    std::string id;
    std::string path;
    std::string body;
    std::string organisation;
    std::string expected_runner;
    std::string inputs; //!< results of stages
    std::string last_event_id;
    bool stage_call = false;
    std::size_t connection = 0; //!< number of its connection at the runner
};

//! What a runner writes to its connection for one request.
struct scripted_answer
{
    std::string bytes;
    std::string body = {}; //!< the end of the bytes; only set for stages
    bool close = false;    //!< after the bytes
    bool reset = false;
    bool silent = false; //!< nothing at all
    //! Written again and again after the bytes, until the connection is closed.
    std::string endless;
};

//! What the head of an answer states.
struct answer_head
{
    std::string status_line = "200 OK";
    bool names_request = true;
    bool sealed = false;
    bool not_executed = false;    //!< the runner did not run the request
    bool encoded = false;         //!< the body is not the runner's
    bool leaving = false;         //!< the runner is about to stop
    std::string retry_after = {}; //!< seconds; empty: none
    //! Each is written as a limit on requests per second.
    std::vector<std::string> rate_limits = {};
};

//! A runner on a loopback port. Its answers are raw bytes, so that a test can
//! break the protocol; without a script it answers properly, to calls of
//! stages too.
class runner_standin
{
public:
    runner_standin(asio::io_context& loop, std::string id);

    std::string address() const;
    std::string const& id() const { return id_; }

    //! The entry under which a runner registers itself.
    nlohmann::json entry(std::string const& service) const;

    //! Answers to the next requests, in their order.
    std::deque<std::function<scripted_answer(received_request const&)>> script;

    //! Answer to each request for which the script has none.
    std::function<scripted_answer(received_request const&)> usual_answer;

    //! Answer to each request as soon as its head has arrived; its body is not
    //! read.
    std::function<scripted_answer(received_request const&)> early_answer;

    std::vector<received_request> received;

    //! Writes bytes to a connection, given by its number, in addition to its
    //! answers.
    void write(std::size_t connection_number, std::string_view bytes);

    //! Closes a connection, given by its number, with a TCP reset.
    void reset(std::size_t connection_number);

    //! Called when a connection, given by its number, has ended.
    std::function<void(std::size_t)> on_connection_end;

    //! Bytes of endless answers that were written.
    std::size_t endless_bytes = 0;

    //! An answer with a length.
    static scripted_answer with_head(received_request const& request,
                                     answer_head const& head,
                                     std::string const& body);

    //! A proper answer to the request.
    static scripted_answer proper(received_request const& request,
                                  std::string const& body);

    //! The same without a length: the body ends with the connection.
    static scripted_answer without_length(received_request const& request,
                                          std::string const& body);

    //! The same with a body that something between has rewritten.
    static scripted_answer encoded(received_request const& request,
                                   std::string const& body);

    //! Head of a stream of events; its body follows in chunks.
    static std::string stream_head(received_request const& request);

    //! A proper answer to a call of stages, with new results.
    scripted_answer stage_answer(received_request const& request);

private:
    class connection;

    void accept();
    scripted_answer answer_to(received_request const& request);

    asio::io_context& loop_;
    std::string const id_;
    asio::ip::tcp::acceptor acceptor_;
    std::vector<std::shared_ptr<connection>> connections_;
    std::uint64_t next_handle_ = 1;
};

} // namespace buckthornvale::standins::fleet_platform

#endif
