#ifndef BUCKTHORNVALE_DOCUMENTS_SRC_BOUNDS_VISITOR_HPP
#define BUCKTHORNVALE_DOCUMENTS_SRC_BOUNDS_VISITOR_HPP

#include <buckthornvale/documents/cbor.hpp>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>

namespace buckthornvale::documents::detail
{

//! SAX visitor that aborts parsing at a maximum depth or number of values. The
//! CBOR parser recurses once per level, so a deeply nested message would
//! exhaust the stack.
class bounds_visitor : public nlohmann::json_sax<nlohmann::json>
{
public:
    explicit bounds_visitor(cbor_bounds bounds) : bounds_(bounds) {}

    bool null() override { return count_value(); }
    bool boolean(bool) override { return count_value(); }
    bool number_integer(number_integer_t) override { return count_value(); }
    bool number_unsigned(number_unsigned_t) override { return count_value(); }
    bool number_float(number_float_t, string_t const&) override
    {
        return count_value();
    }
    bool string(string_t&) override { return count_value(); }
    bool binary(binary_t&) override { return count_value(); }
    bool start_object(std::size_t) override { return enter_container(); }
    bool key(string_t&) override { return count_value(); }
    bool end_object() override { return leave_container(); }
    bool start_array(std::size_t) override { return enter_container(); }
    bool end_array() override { return leave_container(); }
    bool parse_error(std::size_t, std::string const&,
                     nlohmann::detail::exception const&) override
    {
        return false;
    }

    //! True when parsing was aborted because a bound was exceeded.
    bool exceeded() const { return exceeded_; }

private:
    bool count_value();
    bool enter_container();
    bool leave_container();

    cbor_bounds bounds_;
    std::size_t depth_ = 0;
    std::size_t value_count_ = 0;
    bool exceeded_ = false;
};

} // namespace buckthornvale::documents::detail

#endif
