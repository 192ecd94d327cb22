#include "reader.hpp"

#include <cmath>
#include <limits>

namespace buckthornvale::peer::detail
{

field_reader::field_reader(nlohmann::json const& value) : value_(value)
{
    if (!value.is_object())
        failed_ = "map";
}

void field_reader::fail(char const* name)
{
    if (failed_.empty())
        failed_ = name;
}

void field_reader::check(field_reader const& nested)
{
    if (nested.too_large_)
        too_large_ = true;
    if (!nested.failed_.empty())
        fail(nested.failed_.c_str());
}

nlohmann::json const* field_reader::find(char const* name)
{
    if (!ok())
        return nullptr;
    auto const it = value_.find(name);
    if (it == value_.end())
    {
        fail(name);
        return nullptr;
    }
    return &*it;
}

void field_reader::number(char const* name, std::uint64_t& out)
{
    auto const* it = find(name);
    if (it == nullptr)
        return;
    if (it->is_number_unsigned())
        out = it->get<std::uint64_t>();
    else
        fail(name);
}

void field_reader::number(char const* name, std::uint32_t& out)
{
    std::uint64_t value = 0;
    number(name, value);
    if (value > std::numeric_limits<std::uint32_t>::max())
        fail(name);
    else
        out = static_cast<std::uint32_t>(value);
}

void field_reader::integer(char const* name, std::int64_t& out)
{
    auto const* it = find(name);
    if (it == nullptr)
        return;
    constexpr auto most =
        static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    bool const large =
        it->is_number_unsigned() && it->get<std::uint64_t>() > most;
    if (it->is_number_integer() && !large)
        out = it->get<std::int64_t>();
    else
        fail(name);
}

void field_reader::amount(char const* name, double& out)
{
    auto const* it = find(name);
    if (it == nullptr)
        return;
    if (it->is_number())
        out = it->get<double>();
    if (!it->is_number() || !std::isfinite(out) || out < 0.)
        fail(name);
}

void field_reader::boolean(char const* name, bool& out)
{
    auto const* it = find(name);
    if (it == nullptr)
        return;
    if (it->is_boolean())
        out = it->get<bool>();
    else
        fail(name);
}

void field_reader::text(char const* name, std::string& out, std::size_t most)
{
    auto const* it = find(name);
    if (it == nullptr)
        return;
    if (!it->is_string())
        fail(name);
    else if (it->get_ref<std::string const&>().size() > most)
        too_large_ = true;
    else
        out = it->get_ref<std::string const&>();
}

void field_reader::binary(char const* name, std::string& out, std::size_t most)
{
    auto const* it = find(name);
    if (it == nullptr)
        return;
    if (!it->is_binary())
    {
        fail(name);
        return;
    }
    auto const& bytes = it->get_binary();
    if (bytes.size() > most)
        too_large_ = true;
    else
        out.assign(bytes.begin(), bytes.end());
}

nlohmann::json const* field_reader::array(char const* name, std::size_t most)
{
    auto const* it = find(name);
    if (it == nullptr)
        return nullptr;
    if (!it->is_array())
    {
        fail(name);
        return nullptr;
    }
    if (it->size() > most)
    {
        too_large_ = true;
        return nullptr;
    }
    return it;
}

nlohmann::json const* field_reader::optional_array(char const* name,
                                                   std::size_t most)
{
    if (!ok() || value_.find(name) == value_.end())
        return nullptr;
    return array(name, most);
}

nlohmann::json const* field_reader::map(char const* name)
{
    auto const* it = find(name);
    if (it == nullptr)
        return nullptr;
    if (it->is_object())
        return it;
    fail(name);
    return nullptr;
}

} // namespace buckthornvale::peer::detail
