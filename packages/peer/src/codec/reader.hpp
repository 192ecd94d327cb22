#ifndef BUCKTHORNVALE_PEER_SRC_CODEC_READER_HPP
#define BUCKTHORNVALE_PEER_SRC_CODEC_READER_HPP

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace buckthornvale::peer::detail
{

//! Reads the fields of one CBOR map. The first missing or wrong field makes
//! the reader fail; later reads then change nothing.
class field_reader
{
public:
    explicit field_reader(nlohmann::json const& value);

    void number(char const* name, std::uint64_t& out);
    void number(char const* name, std::uint32_t& out);
    void integer(char const* name, std::int64_t& out);
    //! A finite number that is not negative.
    void amount(char const* name, double& out);
    void boolean(char const* name, bool& out);
    void text(char const* name, std::string& out, std::size_t most);
    void binary(char const* name, std::string& out, std::size_t most);
    //! An enumeration by its number, 0 to `last`.
    template <class Enum>
    void enumeration(char const* name, Enum& out, Enum last)
    {
        std::uint64_t value = 0;
        number(name, value);
        if (value > static_cast<std::uint64_t>(last))
            fail(name);
        else if (ok())
            out = static_cast<Enum>(value);
    }
    //! An array of at most `most` elements; null when it is wrong.
    nlohmann::json const* array(char const* name, std::size_t most);
    //! Null when there is none; a wrong one fails.
    nlohmann::json const* optional_array(char const* name, std::size_t most);
    //! A nested map; null when it is wrong.
    nlohmann::json const* map(char const* name);

    //! Fails because of a named field.
    void fail(char const* name);
    //! Takes over the failure of a nested map.
    void check(field_reader const& nested);

    bool ok() const { return failed_.empty() && !too_large_; }
    bool too_large() const { return too_large_; }
    std::string const& failed_field() const { return failed_; }

private:
    nlohmann::json const* find(char const* name);

    nlohmann::json const& value_;
    std::string failed_;
    bool too_large_ = false;
};

} // namespace buckthornvale::peer::detail

#endif
