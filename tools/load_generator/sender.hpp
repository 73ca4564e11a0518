#ifndef HAWTHORNSPUR_TOOLS_LOAD_GENERATOR_SENDER_HPP
#define HAWTHORNSPUR_TOOLS_LOAD_GENERATOR_SENDER_HPP

#include "base/result.hpp"
#include "net/http_client.hpp"
#include <hawthornspur/caller.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hawthornspur::tools
{

/// A way to send requests. `m_counters` gives its counters after the load.
struct sender
{
    std::function<void(call_request, call_handler)> m_call;
    std::function<std::map<std::string, std::uint64_t>()> m_counters;
};

struct entry_settings
{
    std::vector<net::endpoint> m_entry_hosts;
    /// Callers are spread over these zones in turn.
    std::vector<std::string> m_zones;
    /// Number of callers, each with its own connections and sessions.
    int m_callers = 1;
    bool m_send_copies = false;
    std::uint64_t m_seed = 1;
};

/// Sends through entry hosts with the caller library.
result<sender> make_entry_sender(net::event_loop& loop,
                                 entry_settings const& settings);

enum class direct_policy : std::uint8_t
{
    /// Any target.
    random,
    /// The one with fewer requests in flight of two drawn at random.
    two_choice,
};

/// Sends to targets without a balancer, as a baseline.
result<sender> make_direct_sender(net::event_loop& loop,
                                  std::vector<net::endpoint> targets,
                                  direct_policy policy, std::uint64_t seed);

/// Reads "address:port,address:port". Errors: usage.
result<std::vector<net::endpoint>> parse_endpoints(std::string const& text);

} // namespace hawthornspur::tools

#endif
