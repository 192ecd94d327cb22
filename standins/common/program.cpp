#include "common/program.hpp"

#include <iostream>

namespace buckthornvale::standins
{

int serve(standin_server& server, std::string const& address)
{
    if (!server.start())
    {
        std::cerr << "cannot listen on " << address
                  << "; choose another --port or --address\n";
        return 1;
    }
    std::cout << "listening " << address << ':' << server.port() << std::endl;
    server.wait();
    return 0;
}

} // namespace buckthornvale::standins
