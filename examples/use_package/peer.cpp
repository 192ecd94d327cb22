#include <buckthornvale/peer/codec/codec.hpp>

int main()
{
    using namespace buckthornvale::peer;
    return decode(encode(goodbye{})).ok() ? 0 : 1;
}
