#include <buckthornvale/gateway/gateway_request.hpp>
#include <buckthornvale/platform/headers.hpp>

namespace buckthornvale::gateway
{

net::call_id make_call(net::http_client& client, std::string const& address,
                       gateway_request call, net::call_options const& options,
                       net::call_done done)
{
    net::short_request request;
    request.head = platform::encode_gateway_request(call.method, call.target,
                                                    address, call.body.size(),
                                                    call.expected_runner);
    request.body = std::move(call.body);
    request.max_answer_bytes = call.max_answer_bytes;
    return net::make_call(client, address, std::move(request), options,
                          std::move(done));
}

} // namespace buckthornvale::gateway
