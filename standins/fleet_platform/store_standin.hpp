#ifndef BUCKTHORNVALE_STANDINS_FLEET_PLATFORM_STORE_STANDIN_HPP
#define BUCKTHORNVALE_STANDINS_FLEET_PLATFORM_STORE_STANDIN_HPP

#include <buckthornvale/net/http_server.hpp>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornvale::standins::fleet_platform
{

//! Speaks the object protocol of the platform's store: lists, watches, and
//! conditional writes. It runs on the loop of the test.
class store_standin final : public net::request_handler
{
public:
    explicit store_standin(asio::io_context& loop);

    std::uint16_t port() const { return server_.port(); }

    //! Writes an object and wakes the watches of its kind. A name that is no
    //! UTF-8 is written into answers as it is.
    void put(std::string const& kind, std::string const& name,
             nlohmann::json specification);
    //! Does nothing without the object.
    void remove(std::string const& kind, std::string const& name);

    void put_manifest(nlohmann::json manifest);
    void put_runner(std::string const& id, nlohmann::json entry);

    //! Writes the text in place of this string value in all answers. The text
    //! may be no JSON that this program can hold.
    void replace_in_answers(std::string value, std::string text);

    //! VMs of the product that have registered themselves.
    std::size_t members() const { return size("members"); }

    //! Writes another address into the entry of the VM, which must exist.
    void move_member(std::string const& name, std::string address);

    bool holds(std::string const& kind, std::string const& name) const;

    //! Number of objects of the kind.
    std::size_t size(std::string const& kind) const;

    //! Calls to objects of the kind so far.
    std::size_t calls(std::string const& kind) const;

    //! Pages of lists of the kind so far.
    std::size_t lists(std::string const& kind) const;

    //! Calls so far that are no HTTP, whose target is not as in RFC 3986, or
    //! which have a header that no call has. They are answered with an error.
    std::size_t malformed_calls() const { return malformed_calls_; }

    //! Writes all objects to the other store.
    void copy_to(store_standin& other) const;

    //! While down, calls are answered with 503 and watches are cut.
    void set_down(bool down);

    //! While silent, calls are taken and never answered, also not later.
    void set_silent(bool silent) { silent_ = silent; }

    //! Loses the answers to all watches of the kind that are waiting. Their
    //! connections stay open and return nothing further.
    void lose_watches(std::string const& kind);

    //! Forgets the history, so that a watch has to list again.
    void compact();

    //! Keeps a copy of all objects and revisions.
    void save_copy();

    //! Comes back from the copy: what was written since is gone, revisions are
    //! given out again, and the era rises. Watches that wait are cut.
    void restore_copy();

    //! Lists return this many objects at once.
    void set_page_size(std::size_t n) { page_size_ = n; }

    //! Lists always return their first page.
    void set_ignoring_cursors(bool value) { ignoring_cursors_ = value; }

    //! Lists that are continued are answered with 400.
    void set_refusing_cursors(bool value) { refusing_cursors_ = value; }

    //! Called after each page of a list that has a next one.
    std::function<void()> on_page;

    // request_handler
    void on_request(net::server_connection& from, http::request_head& head,
                    std::string& body) override;
    void on_caller_left(net::server_connection& from) override;
    void on_drained(net::server_connection&) override {}
    std::optional<net::rejection_answer>
    on_rejected(net::rejection reason) override;

private:
    struct call_target;

    struct change
    {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json event;
    };

    using object_map =
        std::map<std::string, std::map<std::string, nlohmann::json>>;

    //! All that comes back from a copy.
    struct contents
    {
        object_map objects;
        std::vector<change> changes;
        std::uint64_t revision = 1;
    };

    struct watch
    {
        std::string kind;
        std::uint64_t from = 0;
        std::shared_ptr<asio::steady_timer> end; //!< of its wait
    };

    void answer(std::uint64_t connection, int status,
                nlohmann::json const& body);
    void cut_watches();
    static std::optional<call_target> parse_target(std::string_view target);
    void list(std::uint64_t connection, std::string const& kind,
              std::string const& after);
    void start_watch(std::uint64_t connection, std::string const& kind,
                     std::uint64_t from, std::chrono::milliseconds wait);
    bool answer_watch(std::uint64_t connection, watch const& it);
    void read(std::uint64_t connection, call_target const& target);
    void write(std::uint64_t connection, std::string const& method,
               call_target const& target, std::string const& body);
    void note(std::string const& kind, nlohmann::json object, bool deleted);

    asio::io_context& loop_;
    net::http_server server_;
    contents contents_;
    contents copy_;
    std::map<std::uint64_t, watch> watches_;
    std::map<std::string, std::size_t> calls_; //!< by kind
    std::map<std::string, std::size_t> lists_; //!< by kind
    std::size_t malformed_calls_ = 0;
    std::uint64_t first_kept_ = 1;
    std::uint64_t era_ = 1;
    std::size_t page_size_ = 500;
    std::map<std::string, std::string> replaced_values_;
    bool down_ = false;
    bool silent_ = false;
    bool ignoring_cursors_ = false;
    bool refusing_cursors_ = false;
};

} // namespace buckthornvale::standins::fleet_platform

#endif
