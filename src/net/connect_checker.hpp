#ifndef HAWTHORNSPUR_NET_CONNECT_CHECKER_HPP
#define HAWTHORNSPUR_NET_CONNECT_CHECKER_HPP

#include "core/time.hpp"
#include "net/http_client.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

struct bufferevent;

namespace hawthornspur::net
{

class event_loop;

/// Whether a server accepts connections.
enum class connect_result : std::uint8_t
{
    accepted,
    /// Refused, or closed right after it was opened by a server that ends.
    refused,
    /// No answer in time, or no path to the server.
    unknown,
};

/// Opens connections to servers and closes them again without a request, which
/// costs a server that has ended nothing. Destroying the checker ends its
/// checks without a result.
class connect_checker
{
public:
    /// The loop must outlive the checker.
    explicit connect_checker(event_loop& loop);
    ~connect_checker();
    connect_checker(connect_checker const&) = delete;
    connect_checker& operator=(connect_checker const&) = delete;

    /// Calls `done` once, never before this returns. It may start another check
    /// but must not destroy the checker.
    void check(endpoint const& server, core::duration timeout,
               std::function<void(connect_result)> done);

private:
    struct pending;
    static void on_event(bufferevent* transport, short events, void* self);
    void finish(pending& entry, connect_result result);
    /// Ends a check that could not begin.
    void finish_later(pending& entry);

    event_loop& m_loop;
    std::unordered_map<pending*, std::unique_ptr<pending>> m_pending;
    /// Expires with the checker.
    std::shared_ptr<bool> m_lifetime = std::make_shared<bool>(true);
};

} // namespace hawthornspur::net

#endif
