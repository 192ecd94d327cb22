#ifndef BUCKTHORNVALE_DECISION_GATEWAY_EVACUATION_TABLE_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_EVACUATION_TABLE_HPP

#include <buckthornvale/decision/core/time.hpp>

#include <absl/types/span.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornvale::decision::gateway
{

//! A change of what is evacuated.
struct evacuation_change
{
    std::string failure_domain;
    bool started = false; //!< and did not end
    duration held_for{};  //!< since it became known, if it ended
};

//! The failure domains that the operator evacuates. Nothing is sent to their
//! runners; what these work on already is left to end.
class evacuation_table
{
public:
    //! Replaces the evacuated domains, but for those that are held, and returns
    //! the changes.
    std::vector<evacuation_change>
    assign(absl::Span<std::string const> failure_domains, time_point now);

    //! Same for the first list after the store has come back from a copy. The
    //! copy may lack an evacuation that is known; it holds until `hold_until`
    //! unless the operator writes it anew.
    std::vector<evacuation_change>
    assign_restored(absl::Span<std::string const> failure_domains,
                    time_point hold_until, time_point now);

    //! Returns nothing if the domain is evacuated already.
    std::optional<evacuation_change> start(std::string_view failure_domain,
                                           time_point now);

    //! Returns nothing if the domain is not evacuated.
    std::optional<evacuation_change> end(std::string_view failure_domain,
                                         time_point now);

    //! Ends the evacuations that a copy lacks and that nobody wrote anew.
    std::vector<evacuation_change> expire(time_point now);

    bool contains(std::string_view failure_domain) const
    {
        return entries_.find(failure_domain) != entries_.end();
    }

    std::size_t size() const { return entries_.size(); }

private:
    struct entry
    {
        time_point known_since{};
        std::optional<time_point> expires_at; //!< unless written anew
    };

    using entry_map = std::map<std::string, entry, std::less<>>;

    std::vector<evacuation_change>
    start_all(absl::Span<std::string const> failure_domains, time_point now);
    static evacuation_change change_to(entry_map::const_iterator it,
                                       bool started, time_point now);

    entry_map entries_;
};

} // namespace buckthornvale::decision::gateway

#endif
