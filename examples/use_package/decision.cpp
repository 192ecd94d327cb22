#include <buckthornvale/decision/bookings/shard_document.hpp>

int main()
{
    using buckthornvale::decision::bookings::shard_document;
    return shard_document::decode("{\"v\":1,\"claims\":{}}").ok() ? 0 : 1;
}
