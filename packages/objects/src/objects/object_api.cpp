#include <buckthornvale/objects/objects/object_api.hpp>

#include <array>
#include <iterator>

namespace buckthornvale::objects
{

std::string_view name_of(call_status status)
{
    constexpr std::array<std::string_view, 8> names = {
        "done",     "not_found",   "conflict", "compacted",
        "not_sent", "unavailable", "rejected", "unknown"};
    return names[static_cast<std::size_t>(status)];
}

bool is_not_applied(call_status status)
{
    return status != call_status::done && status != call_status::unknown;
}

read_result<object_page> list_all(object_api& api, std::string const& prefix,
                                  std::size_t page_limit)
{
    auto whole = api.list(prefix, "", page_limit);
    while (whole.is_done() && whole.value.next)
    {
        auto page = api.list(prefix, *whole.value.next, page_limit);
        if (!page.is_done())
            return page;
        whole.value.next = std::move(page.value.next);
        whole.value.items.insert(
            whole.value.items.end(),
            std::make_move_iterator(page.value.items.begin()),
            std::make_move_iterator(page.value.items.end()));
    }
    return whole;
}

} // namespace buckthornvale::objects
