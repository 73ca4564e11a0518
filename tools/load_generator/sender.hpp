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

/// Sends the requests of a load. `m_counters` returns the counters of the
/// sending side.
struct sender
{
    std::function<void(call_request, call_handler)> m_call;
    std::function<std::map<std::string, std::uint64_t>()> m_counters;
};

struct entry_sender_settings
{
    std::vector<net::endpoint> m_entry_hosts;
    /// Callers are assigned to these zones round-robin.
    std::vector<std::string> m_zones;
    /// Number of callers; each has its own connections and sessions.
    int m_callers = 1;
    bool m_send_copies = false;
    std::uint64_t m_seed = 1;
};

/// Creates a sender that uses the caller library and entry hosts.
result<sender> make_entry_sender(net::event_loop& loop,
                                 entry_sender_settings const& settings);

enum class direct_policy : std::uint8_t
{
    /// A target drawn at random.
    random,
    /// Of two targets drawn at random, the one with fewer requests in flight.
    two_choice,
};

/// Creates a sender that calls targets without a load balancer, as a baseline.
result<sender> make_direct_sender(net::event_loop& loop,
                                  std::vector<net::endpoint> targets,
                                  direct_policy policy, std::uint64_t seed);

/// Parses "address:port,address:port". Errors: usage.
result<std::vector<net::endpoint>> parse_endpoints(std::string const& text);

} // namespace hawthornspur::tools

#endif
