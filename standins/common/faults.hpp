#ifndef BUCKTHORNVALE_STANDINS_COMMON_FAULTS_HPP
#define BUCKTHORNVALE_STANDINS_COMMON_FAULTS_HPP

#include <nlohmann/json.hpp>

#include <cstdint>
#include <mutex>
#include <string>

namespace buckthornvale::standins
{

//! The faults of a stand-in. Each member is a field of the same name in the
//! body of POST /faults; a field that is left out returns to its default.
struct faults
{
    std::uint32_t delay_ms = 0;       //!< added to each call
    std::uint32_t token_delay_ms = 0; //!< added before each token
    bool refuse = false;              //!< 503 {"started":false}
    bool drop_before = false; //!< close the connection, nothing executed
    bool drop_after = false;  //!< execute, then close without an answer
    bool cross = false;       //!< swap the answers of two calls in flight
    std::uint32_t cross_wait_ms = 500; //!< longest wait for the second call
    std::string exit_marker; //!< exit on an input with this text; empty: off
    bool freeze = false;     //!< answer nothing at all, also no load report
    std::uint32_t break_after = 0; //!< close a stream after n tokens; 0: off
    std::uint32_t skip_index = 0; //!< leave out the token of this index; 0: off
    int error_status = 0;         //!< execute, then answer so; 0: off
    bool bad_answer = false;      //!< execute, then answer without fields
    std::uint32_t pad_bytes = 0;  //!< added to the output of a call
    std::uint32_t load_lag_ms = 0; //!< age that a load report may reach
    bool leaving = false;          //!< `leaving` of the load report
    bool ignore_fencing = false;   //!< take orders with an old number
    std::uint32_t cache_event_delay_ms = 0; //!< events appear this much later
    std::uint32_t cache_event_gap = 0;      //!< lose each n-th event; 0: none
    //! Calls that the faults apply to, after which all return to default;
    //! 0: until the next POST /faults.
    std::uint32_t only_calls = 0;
};

//! Reads the body of POST /faults. Throws nlohmann::json::exception.
faults parse_faults(std::string const& body);

//! The faults in force. Thread-safe.
class fault_switch
{
public:
    void set(faults const& value);
    faults get() const;

    //! The faults for one more call; counts it against `only_calls`.
    faults for_call();

private:
    mutable std::mutex mutex_;
    faults value_;
    std::uint32_t calls_left_ = 0;
};

} // namespace buckthornvale::standins

#endif
