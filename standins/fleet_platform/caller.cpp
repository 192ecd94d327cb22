#include "caller.hpp"

namespace buckthornvale::standins::fleet_platform
{

std::string start_of_request(std::string const& method, std::string const& path,
                             std::string const& id)
{
    return method + " " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
           "\r\n";
}

std::string text_of(caller_request const& request)
{
    auto out = start_of_request(request.method, request.path, request.id);
    out += "X-Request-Deadline-Ms: 3000\r\nAuthorization: Bearer key\r\n";
    if (!request.pieces.empty())
        out += "X-Pieces: " + request.pieces + "\r\n";
    return out + "Content-Length: " + std::to_string(request.body.size()) +
           "\r\n\r\n" + request.body;
}

bool is_sealed(std::string const& answer)
{
    return answer.find("X-Response-Seal: s") != std::string::npos;
}

} // namespace buckthornvale::standins::fleet_platform
