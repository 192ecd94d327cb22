#ifndef BUCKTHORNVALE_GATEWAY_STORE_MEMBER_LIST_HPP
#define BUCKTHORNVALE_GATEWAY_STORE_MEMBER_LIST_HPP

#include <buckthornvale/decision/gateway/runner.hpp>
#include <buckthornvale/gateway/store/object_update.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace buckthornvale::gateway::store
{

//! The registered VMs, as the store shows them.
class member_list
{
public:
    //! VMs that the store has lost with its copy register again within this
    //! time; they stay in the list until then.
    static constexpr decision::duration registration_time =
        std::chrono::seconds(3);

    void apply(object_update const& update, decision::time_point now);

    //! Removes VMs that have not registered again. Returns true if there were
    //! any.
    bool expire(decision::time_point now);

    //! To be called when the store has come back from a copy: revisions of its
    //! former history must not be used as conditions.
    void forget_revisions();

    //! True if the store holds the entry of this incarnation.
    bool is_registered(decision::gateway::member const& value) const;

    //! Revision of the entry; nothing if it is unknown.
    std::optional<std::uint64_t> revision_of(std::string const& name) const;

    //! Ordered by name.
    std::vector<decision::gateway::member> values() const;

    std::size_t size() const { return entries_.size(); }

    //! The VM at this position, by name. The list must not be empty.
    decision::gateway::member const& at(std::size_t position) const;

private:
    struct entry
    {
        decision::gateway::member value;
        std::optional<std::uint64_t> revision;
        //! Set while the store does not hold it.
        std::optional<decision::time_point> lapses_at;
    };

    std::map<std::string, entry> entries_;
};

} // namespace buckthornvale::gateway::store

#endif
