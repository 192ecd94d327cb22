#include <buckthornvale/serving/http/caller_session.hpp>

namespace buckthornvale::serving::http
{

caller_session::caller_session(reply_table& table, request_sink& sink,
                               decision::request_id id,
                               std::shared_ptr<reply_channel> channel)
    : table_(table), sink_(sink), id_(id), channel_(std::move(channel))
{
}

caller_session::~caller_session()
{
    table_.remove(id_);
    if (!answered_)
        sink_.gone({id_});
}

std::optional<reply> caller_session::next(int caller_socket)
{
    auto item = channel_->wait(caller_socket);
    if (item && std::holds_alternative<decision::requests::send_answer>(*item))
        answered_ = true;
    return item;
}

} // namespace buckthornvale::serving::http
