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
//! runners; what these work on already is left to end. Nothing is sent to any
//! runner while a first list is awaited, nor to a domain whose evacuation has
//! ended while its runners are read afresh.
class evacuation_table
{
public:
    //! Excludes all domains until the first list.
    void await_first_list() { known_ = false; }

    //! False while the first list is awaited.
    bool is_known() const { return known_; }

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

    //! Keeps a domain out of use whose evacuation has ended, until it is
    //! released, at `until` by itself. Evacuating it again ends this.
    void hold_ended(std::string_view failure_domain, time_point until);

    //! Releases the ended domains and returns them.
    std::vector<std::string> release_ended();

    //! Same for those whose time has passed.
    std::vector<std::string> release_overdue(time_point now);

    bool contains(std::string_view failure_domain) const
    {
        return entries_.find(failure_domain) != entries_.end();
    }

    //! True if nothing may be sent to the runners of the domain.
    bool excludes(std::string_view failure_domain) const;

    //! True if there is a domain that is excluded.
    bool excludes_any() const;

    //! Number of evacuated domains.
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

    bool known_ = true;
    entry_map entries_;
    //! Domains that are held after the end, and until when.
    std::map<std::string, time_point, std::less<>> ended_;
};

} // namespace buckthornvale::decision::gateway

#endif
