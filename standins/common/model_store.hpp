#ifndef BUCKTHORNVALE_STANDINS_COMMON_MODEL_STORE_HPP
#define BUCKTHORNVALE_STANDINS_COMMON_MODEL_STORE_HPP

#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace buckthornvale::standins
{

//! Models and adapters that an engine holds, and the orders that changed
//! them. Thread-safe.
class model_store
{
public:
    //! Takes a name into memory; true when it was not there (a cold start).
    bool load_model(std::string const& name);
    bool load_adapter(std::string const& name);

    enum class verdict
    {
        taken,
        stale,
        malformed
    };

    //! Executes the body of POST /v1/orders.
    verdict execute(std::string const& body, bool checks_fencing);

    std::uint64_t highest_fencing() const;
    std::vector<std::string> models() const;
    std::vector<std::string> adapters() const;
    //! {"taken":[..],"stale":[..],"version","role"}, each order as it came.
    std::string orders_json() const;

private:
    bool apply(std::string const& kind, std::string const& name);

    mutable std::mutex mutex_;
    std::set<std::string> models_;
    std::set<std::string> adapters_;
    std::string version_;
    std::string role_;
    std::uint64_t highest_fencing_ = 0;
    std::vector<std::string> taken_;
    std::vector<std::string> stale_;
};

} // namespace buckthornvale::standins

#endif
