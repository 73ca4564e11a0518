#ifndef HAWTHORNSPUR_PLATFORM_PLATFORM_CALLS_HPP
#define HAWTHORNSPUR_PLATFORM_PLATFORM_CALLS_HPP

#include "base/result.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace hawthornspur::platform
{

/// A stored value and the revision that a compare-and-swap has to name.
struct stored_value
{
    std::string m_value;
    std::uint64_t m_revision = 0;
};

enum class listed_role : std::uint8_t
{
    entry,
    target,
};

/// A row of the platform's list of hosts, which lags behind reality.
struct listed_host
{
    std::string m_name;
    listed_role m_role = listed_role::target;
    std::string m_zone;
    std::string m_address;
    std::uint16_t m_port = 0;
    /// Port for other entry hosts; 0 for targets.
    std::uint16_t m_peer_port = 0;
    bool m_leaving = false;
};

template <class T>
using callback = std::function<void(result<T>)>;

/// The platform's services as a struct of calls, so that tests and tools can
/// put fakes in their place. Each call answers exactly once from the loop.
/// Errors: not_found, version_conflict, store_unavailable (the call may have
/// taken effect), store_answer_malformed.
struct platform_calls
{
    std::function<void(std::string key, callback<stored_value>)> m_get;
    /// Writes if the key still has `revision`; 0 creates it. Answers with the
    /// new revision.
    std::function<void(std::string key, std::string value,
                       std::uint64_t revision, callback<std::uint64_t>)>
        m_compare_and_swap;
    /// Answers when the revision is above `after`, or with not_found after
    /// `wait`.
    std::function<void(std::string key, std::uint64_t after,
                       core::duration wait, callback<stored_value>)>
        m_watch;
    /// Answers with the lease's name.
    std::function<void(core::duration lifetime, callback<std::string>)>
        m_create_lease;
    std::function<void(std::string lease, callback<std::monostate>)>
        m_renew_lease;
    std::function<void(callback<std::vector<listed_host>>)> m_list_hosts;
};

} // namespace hawthornspur::platform

#endif
