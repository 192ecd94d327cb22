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
    auto combined = api.list(prefix, "", page_limit);
    while (combined.is_done() && combined.value.next)
    {
        auto page = api.list(prefix, *combined.value.next, page_limit);
        if (!page.is_done())
            return page;
        combined.value.next = std::move(page.value.next);
        combined.value.items.insert(
            combined.value.items.end(),
            std::make_move_iterator(page.value.items.begin()),
            std::make_move_iterator(page.value.items.end()));
    }
    return combined;
}

} // namespace buckthornvale::objects
