#ifndef BUCKTHORNVALE_TESTS_SOAK_RESULT_LEDGER_HPP
#define BUCKTHORNVALE_TESTS_SOAK_RESULT_LEDGER_HPP

#include "request_ledger.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace buckthornvale::soak
{

//! For which request each result of a stage was made, and who reads it. The
//! requests of the soak have two stages with `pieces_per_stage` pieces each, of
//! which one reads the results of the other.
class result_ledger
{
public:
    static constexpr std::size_t pieces_per_stage = 2;

    explicit result_ledger(request_ledger& violations) : violations_(violations)
    {
    }

    //! A runner makes the pieces of `call`; `answer` holds their results.
    void called(std::string_view call, std::string_view answer);

    //! A model runner got the results, comma-separated, with the request.
    void read_by_request(std::string const& id, std::string_view handles);

private:
    struct result
    {
        std::string request;
        bool from_inputs = false; //!< of the stage that reads the other
    };

    void check_inputs(std::string const& id,
                      std::set<std::string> const& handles, bool from_inputs,
                      char const* reader);

    request_ledger& violations_;
    std::map<std::string, result> results_; //!< by handle
};

} // namespace buckthornvale::soak

#endif
