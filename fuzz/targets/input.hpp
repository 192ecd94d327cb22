#ifndef BUCKTHORNVALE_FUZZ_TARGETS_INPUT_HPP
#define BUCKTHORNVALE_FUZZ_TARGETS_INPUT_HPP

#include <cstdio>
#include <cstdlib>
#include <string_view>

namespace buckthornvale::fuzz
{

//! Removes the first line from `rest` and returns it without its newline.
inline std::string_view take_line(std::string_view& rest)
{
    auto const line_end = rest.find('\n');
    auto const line = rest.substr(0, line_end);
    rest.remove_prefix(line_end == std::string_view::npos ? rest.size()
                                                          : line_end + 1);
    return line;
}

//! Aborts if `condition` is false, so that both libFuzzer and the corpus tests
//! report the input.
inline void require(bool condition, char const* invariant)
{
    if (condition)
        return;
    std::fprintf(stderr, "violated invariant: %s\n", invariant);
    std::abort();
}

} // namespace buckthornvale::fuzz

#endif
