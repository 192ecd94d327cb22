#include "store_standin.hpp"

#include "clock.hpp"
#include <buckthornvale/http/text.hpp>

namespace buckthornvale::standins::fleet_platform
{

namespace
{

using nlohmann::json;

constexpr std::string_view base = "/-/objects/";

//! Value of a parameter of the query; empty without it.
std::string_view parameter(std::string_view query, std::string_view name)
{
    for (auto const part : http::split(query, '&'))
    {
        auto const pair = http::split_once(part, '=');
        if (pair.first == name)
            return pair.second;
    }
    return {};
}

} // namespace

store_standin::store_standin(asio::io_context& loop)
    : loop_(loop),
      server_(
          loop, *this, [] { return net::server_limits(); }, steady_now)
{
    server_.listen("127.0.0.1", 0);
}

void store_standin::put(std::string const& kind, std::string const& name,
                        json specification)
{
    ++contents_.revision;
    json const object = {{"metadata",
                          {{"name", name},
                           {"revision", contents_.revision},
                           {"deleting", false}}},
                         {"specification", std::move(specification)}};
    contents_.objects[kind][name] = object;
    note(kind, object, false);
}

void store_standin::remove(std::string const& kind, std::string const& name)
{
    auto const found = contents_.objects[kind].find(name);
    if (found == contents_.objects[kind].end())
        return;
    ++contents_.revision;
    auto const object = std::move(found->second);
    contents_.objects[kind].erase(found);
    note(kind, object, true);
}

void store_standin::note(std::string const& kind, json object, bool deleted)
{
    contents_.changes.push_back(
        {contents_.revision,
         kind,
         {{"object", std::move(object)}, {"deleted", deleted}}});
    for (auto it = watches_.begin(); it != watches_.end();)
        it = answer_watch(it->first, it->second) ? watches_.erase(it)
                                                 : std::next(it);
}

void store_standin::copy_to(store_standin& other) const
{
    for (auto const& kind : contents_.objects)
        for (auto const& it : kind.second)
            other.put(kind.first, it.first, it.second.at("specification"));
}

void store_standin::set_down(bool down)
{
    down_ = down;
    if (down)
        cut_watches();
}

void store_standin::cut_watches()
{
    for (auto const& it : watches_)
        if (auto* to = server_.find(it.first))
            to->abort();
    watches_.clear();
}

void store_standin::lose_watches(std::string const& kind)
{
    for (auto it = watches_.begin(); it != watches_.end();)
        it = it->second.kind == kind ? watches_.erase(it) : std::next(it);
}

void store_standin::compact()
{
    first_kept_ = contents_.revision + 1;
}

void store_standin::save_copy()
{
    copy_ = contents_;
}

void store_standin::restore_copy()
{
    contents_ = copy_;
    ++era_;
    cut_watches();
}

void store_standin::put_manifest(json manifest)
{
    put("config", "main", std::move(manifest));
}

void store_standin::put_runner(std::string const& id, json entry)
{
    put("servers", id, std::move(entry));
}

std::size_t store_standin::members() const
{
    auto const found = contents_.objects.find("members");
    return found == contents_.objects.end() ? 0 : found->second.size();
}

std::size_t store_standin::calls(std::string const& kind) const
{
    auto const found = calls_.find(kind);
    return found == calls_.end() ? 0 : found->second;
}

void store_standin::answer(std::uint64_t connection, int status,
                           json const& body)
{
    std::string head;
    http::append_status_line(head, status);
    http::append_header(head, "Store-Era", std::to_string(era_));
    auto text = body.dump();
    for (auto const& it : replaced_values_)
    {
        auto const value = json(it.first).dump();
        for (auto at = text.find(value); at != std::string::npos;
             at = text.find(value, at + it.second.size()))
            text.replace(at, value.size(), it.second);
    }
    if (auto* to = server_.find(connection))
        to->answer(std::move(head), text);
}

void store_standin::replace_in_answers(std::string value, std::string text)
{
    replaced_values_[std::move(value)] = std::move(text);
}

void store_standin::on_request(net::server_connection& from,
                               http::request_head& head, std::string& body)
{
    if (silent_)
        return;
    std::string_view path = head.path();
    if (down_ || path.substr(0, base.size()) != base)
    {
        answer(from.id(), down_ ? 503 : 404, json::object());
        return;
    }
    auto const parts = http::split_once(path.substr(base.size()), '/');
    auto const query = http::split_once(head.target, '?').second;
    std::string const kind(parts.first);
    ++calls_[kind];
    auto const watched = http::parse_number(parameter(query, "watch"));
    std::chrono::milliseconds const wait(
        http::parse_number(parameter(query, "waitMs")).value_or(0));
    if (head.method != "GET")
        write(from.id(), head.method, kind, std::string(parts.second), query,
              body);
    else if (watched)
        start_watch(from.id(), kind, *watched, wait);
    else
        list(from.id(), kind, parameter(query, "after"));
}

void store_standin::on_caller_left(net::server_connection& from)
{
    watches_.erase(from.id());
}

void store_standin::list(std::uint64_t connection, std::string const& kind,
                         std::string_view after)
{
    auto items = json::array();
    auto const& objects = contents_.objects[kind];
    auto it = objects.upper_bound(std::string(after));
    for (; it != objects.end() && items.size() < page_size_; ++it)
        items.push_back(it->second);
    bool const truncated = it != objects.end();
    answer(connection, 200,
           {{"items", std::move(items)},
            {"truncated", truncated},
            {"asOf", contents_.revision}});
    if (truncated && on_page)
        on_page();
}

void store_standin::start_watch(std::uint64_t connection,
                                std::string const& kind, std::uint64_t from,
                                std::chrono::milliseconds wait)
{
    watch const it{kind, from,
                   std::make_shared<asio::steady_timer>(loop_, wait)};
    bool const unknown = from > contents_.revision;
    if (from + 1 < first_kept_ || unknown)
        answer(connection, 410, json::object());
    else if (!answer_watch(connection, it))
    {
        watches_[connection] = it;
        it.end->async_wait(
            [this, connection](asio::error_code ec)
            {
                if (!ec && watches_.erase(connection) > 0)
                    answer(connection, 200,
                           {{"events", json::array()},
                            {"asOf", contents_.revision}});
            });
    }
}

bool store_standin::answer_watch(std::uint64_t connection, watch const& it)
{
    auto events = json::array();
    for (auto const& made : contents_.changes)
        if (made.kind == it.kind && made.revision > it.from)
            events.push_back(made.event);
    if (events.empty())
        return false;
    answer(connection, 200,
           {{"events", std::move(events)}, {"asOf", contents_.revision}});
    return true;
}

void store_standin::write(std::uint64_t connection, std::string const& method,
                          std::string const& kind, std::string name,
                          std::string_view query, std::string const& body)
{
    auto const value = json::parse(body, nullptr, false);
    if (method == "DELETE")
    {
        auto const found = contents_.objects[kind].find(name);
        auto const revision = http::parse_number(parameter(query, "revision"));
        bool const exists = found != contents_.objects[kind].end();
        if (exists && revision &&
            found->second["metadata"]["revision"] != *revision)
        {
            answer(connection, 409, found->second);
            return;
        }
        if (exists)
            remove(kind, name);
        answer(connection, 200, json::object());
        return;
    }
    if (!value.is_object() || !value.contains("metadata"))
    {
        answer(connection, 400, json::object());
        return;
    }
    if (method == "POST")
        name = value["metadata"].value("name", "");
    if (method == "POST" && contents_.objects[kind].count(name) > 0)
    {
        answer(connection, 409, contents_.objects[kind][name]);
        return;
    }
    put(kind, name, value.value("specification", json()));
    answer(connection, 200, contents_.objects[kind][name]);
}

} // namespace buckthornvale::standins::fleet_platform
