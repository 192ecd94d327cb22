#include <buckthornvale/serving/http/caller_codec.hpp>
#include <buckthornvale/serving/http/http_front.hpp>

#include <type_traits>

int main()
{
    // Compiling http_front.hpp also checks the event loop headers that it
    // includes.
    using buckthornvale::serving::http::http_front;
    static_assert(!std::is_copy_constructible_v<http_front>);
    return buckthornvale::serving::http::is_plain_name("clearers") ? 0 : 1;
}
