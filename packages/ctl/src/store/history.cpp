#include <buckthornvale/ctl/store/history.hpp>

#include <nlohmann/json.hpp>

namespace buckthornvale::ctl
{

namespace
{

using nlohmann::json;

constexpr std::size_t max_entries = 20;
// Half of the store's maximum value size, to leave room for JSON escapes.
constexpr std::size_t max_bytes = 512U << 10U;
// Operators rarely write one history concurrently; if four attempts fail, the
// store itself is at fault.
constexpr int max_attempts = 4;

std::string history_path(std::string const& path)
{
    return "history/" + path;
}

json to_json(history_entry const& entry)
{
    return {{"version", entry.version},
            {"at_ms", entry.at_ms},
            {"author", entry.author},
            {"text", entry.text},
            {"removal", entry.is_removal}};
}

history_entry entry_from(json const& value)
{
    return {value.at("version").get<std::uint64_t>(), value.value("at_ms", 0LL),
            value.value("author", ""), value.value("text", ""),
            value.value("removal", false)};
}

std::string serialize(std::vector<history_entry> const& entries)
{
    json list = json::array();
    std::size_t bytes = 0;
    for (auto it = entries.rbegin(); it != entries.rend(); ++it)
    {
        bytes += it->text.size();
        if (list.size() == max_entries || bytes > max_bytes)
            break;
        list.insert(list.begin(), to_json(*it));
    }
    return json{{"entries", list}}.dump(-1, ' ', false,
                                        json::error_handler_t::replace);
}

} // namespace

history_entry const* history::find(std::uint64_t version) const
{
    for (auto const& it : entries)
    {
        if (it.version == version)
            return &it;
    }
    return nullptr;
}

history read_history(objects::object_api& store, std::string const& path)
{
    history value;
    auto const read = store.get(history_path(path));
    value.status = read.status;
    if (read.status == objects::call_status::not_found)
        value.status = objects::call_status::done;
    if (!read.is_done())
        return value;
    value.object_version = read.value.version;
    // A malformed history reads as empty, and the next entry replaces it.
    auto const body = json::parse(read.value.value, nullptr, false);
    if (!body.is_object() || !body.contains("entries"))
        return value;
    try
    {
        for (auto const& it : body["entries"])
            value.entries.push_back(entry_from(it));
    }
    catch (json::exception const&)
    {
        value.entries.clear();
    }
    return value;
}

bool append_history(objects::object_api& store, std::string const& path,
                    history_entry const& entry)
{
    for (int i = 0; i < max_attempts; ++i)
    {
        auto stored_history = read_history(store, path);
        if (stored_history.status != objects::call_status::done)
            continue;
        // An earlier attempt may have succeeded although its response was lost.
        if (stored_history.find(entry.version))
            return true;
        stored_history.entries.push_back(entry);
        if (store
                .put(history_path(path), stored_history.object_version,
                     serialize(stored_history.entries))
                .is_done())
            return true;
    }
    return false;
}

} // namespace buckthornvale::ctl
