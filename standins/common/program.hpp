#ifndef BUCKTHORNVALE_STANDINS_COMMON_PROGRAM_HPP
#define BUCKTHORNVALE_STANDINS_COMMON_PROGRAM_HPP

#include "common/standin_server.hpp"

namespace buckthornvale::standins
{

//! Starts a stand-in, prints "listening ADDRESS:PORT" and serves until the
//! process ends. Gives the exit status.
int serve(standin_server& server, std::string const& address);

} // namespace buckthornvale::standins

#endif
