#include <buckthornvale/decision/leases/lease_codec.hpp>

#include <nlohmann/json.hpp>

namespace buckthornvale::decision::leases
{

std::string encode(lease_value const& value)
{
    nlohmann::json const body = {{"v", 1},
                                 {"holder", value.holder.value},
                                 {"incarnation", value.incarnation},
                                 {"nonce", value.nonce}};
    return body.dump();
}

std::optional<lease_value> decode_lease(std::string_view text)
{
    auto const body = nlohmann::json::parse(text, nullptr, false);
    if (!body.is_object())
        return std::nullopt;
    lease_value value;
    for (auto const& [name, field] :
         {std::pair{"holder", &value.holder.value},
          std::pair{"incarnation", &value.incarnation},
          std::pair{"nonce", &value.nonce}})
    {
        auto const it = body.find(name);
        if (it == body.end() || !it->is_number_unsigned())
            return std::nullopt;
        *field = it->get<std::uint64_t>();
    }
    return value;
}

} // namespace buckthornvale::decision::leases
