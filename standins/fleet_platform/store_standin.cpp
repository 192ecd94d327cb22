#include "store_standin.hpp"

#include "clock.hpp"
#include <buckthornvale/documents/json_text.hpp>
#include <buckthornvale/http/text.hpp>

#include <algorithm>
#include <array>

namespace buckthornvale::standins::fleet_platform
{

namespace
{

using nlohmann::json;

constexpr std::string_view base = "/-/objects/";
constexpr int status_bad_request = 400;

//! Whether all characters may stand in the path or the query of a target (RFC
//! 3986, 3.3 and 3.4). Escapes are checked when they are decoded.
bool has_target_characters(std::string_view target)
{
    constexpr std::string_view marks = "-._~!$&'()*+,;=:@/?%";
    return std::all_of(target.begin(), target.end(),
                       [&](unsigned char it)
                       {
                           bool const alphanumeric = (it >= '0' && it <= '9') ||
                                                     (it >= 'A' && it <= 'Z') ||
                                                     (it >= 'a' && it <= 'z');
                           return alphanumeric || marks.find(char(it)) !=
                                                      std::string_view::npos;
                       });
}

//! Whether all headers are ones that calls to the store have.
bool has_known_headers(http::header_view headers)
{
    constexpr std::array<std::string_view, 3> known = {"host", "content-type",
                                                       "content-length"};
    return std::all_of(headers.begin(), headers.end(),
                       [&](http::header const& it)
                       {
                           return std::find(known.begin(), known.end(),
                                            http::lower_case(it.name)) !=
                                  known.end();
                       });
}

//! Decoded value of a parameter; empty without it.
std::string parameter(std::string_view query, std::string_view name)
{
    return http::query_parameter(query, name).value_or("");
}

//! Whether the bytes are UTF-8.
bool is_text(std::string const& bytes)
{
    return documents::parse_json(documents::write_json(bytes)) == json(bytes);
}

} // namespace

//! What the target of a call names.
struct store_standin::call_target
{
    std::string kind;
    std::string name; //!< empty for all objects of the kind
    std::string_view query;
};

std::optional<store_standin::call_target>
store_standin::parse_target(std::string_view target)
{
    auto const parts = http::split_once(target, '?');
    if (!has_target_characters(target) || !http::percent_decoded(parts.second))
        return std::nullopt;
    auto const names = http::split(parts.first.substr(base.size()), '/');
    auto const kind = http::percent_decoded(names[0]);
    auto const name = http::percent_decoded(names.size() > 1 ? names[1] : "");
    if (!kind || kind->empty() || !name)
        return std::nullopt;
    return call_target{*kind, *name, parts.second};
}

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
    auto written_name = name;
    if (!is_text(name))
    {
        // JSON of this program holds text only.
        written_name = http::percent_encoded(name);
        replace_in_answers(written_name, "\"" + name + "\"");
    }
    json const object = {{"metadata",
                          {{"name", written_name},
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

std::size_t store_standin::size(std::string const& kind) const
{
    auto const found = contents_.objects.find(kind);
    return found == contents_.objects.end() ? 0 : found->second.size();
}

bool store_standin::holds(std::string const& kind,
                          std::string const& name) const
{
    auto const found = contents_.objects.find(kind);
    return found != contents_.objects.end() && found->second.count(name) > 0;
}

void store_standin::move_member(std::string const& name, std::string address)
{
    auto entry = contents_.objects.at("members").at(name).at("specification");
    entry["address"] = std::move(address);
    put("members", name, std::move(entry));
}

std::size_t store_standin::calls(std::string const& kind) const
{
    auto const found = calls_.find(kind);
    return found == calls_.end() ? 0 : found->second;
}

std::size_t store_standin::lists(std::string const& kind) const
{
    auto const found = lists_.find(kind);
    return found == lists_.end() ? 0 : found->second;
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
    if (down_ || head.path().substr(0, base.size()) != base)
    {
        answer(from.id(), down_ ? 503 : 404, json::object());
        return;
    }
    auto const target = parse_target(head.target);
    if (!target || !has_known_headers(head.headers))
    {
        ++malformed_calls_;
        answer(from.id(), status_bad_request, json::object());
        return;
    }
    ++calls_[target->kind];
    auto const watched = http::parse_number(parameter(target->query, "watch"));
    std::chrono::milliseconds const wait(
        http::parse_number(parameter(target->query, "waitMs")).value_or(0));
    if (head.method != "GET")
        write(from.id(), head.method, *target, body);
    else if (!target->name.empty())
        read(from.id(), *target);
    else if (watched)
        start_watch(from.id(), target->kind, *watched, wait);
    else
        list(from.id(), target->kind, parameter(target->query, "after"));
}

std::optional<net::rejection_answer>
store_standin::on_rejected(net::rejection reason)
{
    ++malformed_calls_;
    return net::default_rejection(reason);
}

void store_standin::on_caller_left(net::server_connection& from)
{
    watches_.erase(from.id());
}

void store_standin::list(std::uint64_t connection, std::string const& kind,
                         std::string const& after)
{
    ++lists_[kind];
    if (refusing_cursors_ && !after.empty())
    {
        answer(connection, status_bad_request, json::object());
        return;
    }
    auto items = json::array();
    auto const& objects = contents_.objects[kind];
    auto it = objects.upper_bound(ignoring_cursors_ ? std::string() : after);
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

void store_standin::read(std::uint64_t connection, call_target const& target)
{
    if (holds(target.kind, target.name))
        answer(connection, 200, contents_.objects[target.kind][target.name]);
    else
        answer(connection, 404, json::object());
}

void store_standin::write(std::uint64_t connection, std::string const& method,
                          call_target const& target, std::string const& body)
{
    auto const& kind = target.kind;
    auto name = target.name;
    auto const value = json::parse(body, nullptr, false);
    auto const found = contents_.objects[kind].find(name);
    bool const exists = found != contents_.objects[kind].end();
    auto const revision =
        http::parse_number(parameter(target.query, "revision"));
    if (exists && revision &&
        found->second["metadata"]["revision"] != *revision)
    {
        answer(connection, 409, found->second);
        return;
    }
    if (method == "DELETE")
    {
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
    if (method == "PUT" && revision && !exists)
    {
        answer(connection, 404, json::object());
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
