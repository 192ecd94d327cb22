#ifndef BUCKTHORNVALE_GATEWAY_STORE_CRASH_RECORD_WRITER_HPP
#define BUCKTHORNVALE_GATEWAY_STORE_CRASH_RECORD_WRITER_HPP

#include <buckthornvale/net/short_call.hpp>
#include <buckthornvale/net/timer.hpp>
#include <buckthornvale/platform/store_codec.hpp>

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornvale::gateway::store
{

//! Has the store keep the crash records of this VM, in one object. Writes them
//! again until the store has acknowledged them. A write that the store executes
//! late has no effect, because each names the revision that it replaces.
class crash_record_writer
{
public:
    using record_list = std::vector<decision::gateway::stored_crashes>;

    struct callback_set
    {
        std::function<void(platform::store_request, net::call_done)> call;

        //! Called with records that the store keeps, of this VM or of one that
        //! is gone, and that this VM has to go on with.
        std::function<void(record_list)> found;

        //! Called with the number of records that the store has acknowledged.
        std::function<void(std::size_t)> acknowledged;

        //! Called with the status of a write that is repeated; 0: no answer.
        std::function<void(int status)> repeated;
    };

    crash_record_writer(asio::io_context& loop, std::string vm_name,
                        callback_set callbacks);

    void write(record_list records);

    //! The revision of this VM's object in a list; nothing if it has none.
    void set_revision(std::optional<std::uint64_t> revision);

    //! To be called when the store has come back from a copy, which may lack
    //! what was written last.
    void store_restored();

    //! Takes over the records of a VM that is gone, and deletes its object when
    //! they are written.
    void take_over(std::string const& vm_name);

private:
    struct former_object
    {
        std::string vm_name;
        std::uint64_t revision = 0;
    };

    void send();
    void send_later();
    platform::store_request next_request() const;
    void handle_response(net::call_result const& result);
    void handle_conflict(std::string_view body);
    void delete_former_objects();

    std::string const vm_name_;
    callback_set callbacks_;
    net::timer timer_;
    record_list wanted_;
    bool changed_ = false; //!< since the last write that was acknowledged
    bool calling_ = false;
    bool deleting_ = false; //!< by the call in progress
    bool waiting_ = false;  //!< for the timer
    //! Of the object in the store; not set if it is not known to exist.
    std::optional<std::uint64_t> revision_;
    std::uint32_t failed_calls_ = 0;
    std::vector<former_object> former_objects_;
};

} // namespace buckthornvale::gateway::store

#endif
