#ifndef BUCKTHORNVALE_SERVING_HTTP_CALLER_CODEC_HPP
#define BUCKTHORNVALE_SERVING_HTTP_CALLER_CODEC_HPP

#include <buckthornvale/decision/requests/caller_messages.hpp>

#include <string>
#include <string_view>
#include <variant>

namespace buckthornvale::serving::http
{

//! A parsed request, or the error that names the field and the remedy.
using parsed_request =
    std::variant<decision::requests::caller_request, decision::error>;

//! Parses the body of POST /v1/pipelines/<pipeline>/requests. `authorization`
//! is the value of the header of that name.
parsed_request parse_caller_request(std::string_view pipeline,
                                    std::string_view authorization,
                                    std::string_view body);

//! True for 1 to 128 characters out of letters, digits and "._:~-", which
//! need no escapes in a URL.
bool is_plain_name(std::string_view name);

//! What an answer's body needs beside the answer.
struct answer_context
{
    decision::request_id request;
    std::string organisation;
};

//! Body of an answer to a caller: one JSON object.
std::string encode_answer(decision::requests::answer const& value,
                          answer_context const& context);

//! HTTP status of an answer to a request.
int status_of_answer(decision::requests::answer const& value);

//! HTTP status of an answer to an outcome query: 200 for an outcome, 202 for
//! a pending one, an error status when the query itself failed.
int status_of_query(decision::requests::answer const& value);

//! Data of a token event: one line of JSON.
std::string encode_token(decision::requests::send_token const& value);

//! One server-sent event.
std::string encode_event(std::string_view name, std::string_view data);

} // namespace buckthornvale::serving::http

#endif
