#ifndef BUCKTHORNVALE_SERVING_HTTP_CALLER_SESSION_HPP
#define BUCKTHORNVALE_SERVING_HTTP_CALLER_SESSION_HPP

#include <buckthornvale/serving/http/reply_table.hpp>
#include <buckthornvale/serving/http/request_sink.hpp>

#include <memory>
#include <optional>

namespace buckthornvale::serving::http
{

//! One submitted request while its caller waits. Its end without an answer is
//! reported to the sink as caller_gone, on every path.
class caller_session
{
public:
    //! `channel` was added to `table` under `id`.
    caller_session(reply_table& table, request_sink& sink,
                   decision::request_id id,
                   std::shared_ptr<reply_channel> channel);
    ~caller_session();
    caller_session(caller_session const&) = delete;
    caller_session& operator=(caller_session const&) = delete;

    //! Waits for the next reply; nothing when the caller left.
    std::optional<reply> next(int caller_socket);

    decision::request_id id() const { return id_; }

private:
    reply_table& table_;
    request_sink& sink_;
    decision::request_id id_;
    std::shared_ptr<reply_channel> channel_;
    bool answered_ = false;
};

} // namespace buckthornvale::serving::http

#endif
