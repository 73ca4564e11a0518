#ifndef HAWTHORNSPUR_TESTS_TEST_CLUSTER_HPP
#define HAWTHORNSPUR_TESTS_TEST_CLUSTER_HPP

#include "core/configuration.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "platform_emulator/platform_emulator.hpp"
#include "serve/host.hpp"
#include "target_emulator/target_emulator.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hawthornspur::test
{

/// An entry host with a loop of its own, so that it can be paused or killed
/// while the others go on.
struct entry_host
{
    std::string m_name;
    std::unique_ptr<net::event_loop> m_loop;
    std::unique_ptr<serve::entry_host> m_host;
    bool m_is_paused = false;
};

/// An answer as a caller sees it.
struct answer
{
    bool m_done = false;
    net::exchange_outcome m_outcome = net::exchange_outcome::closed;
    net::http_response_head m_head;
    std::string m_body;
};

/// The value of Hawthornspur-Code, 0 when it is missing.
unsigned code_of(answer const& a);
std::string outcome_of(answer const& a);

/// Entry hosts, targets and the platform in one process. Loops are run in
/// turns; no result depends on how long that takes.
class test_cluster
{
public:
    /// `hosts` entry hosts and `targets` targets of the service "map", all in
    /// zone "a", with the configuration in force on every host.
    test_cluster(std::size_t hosts, std::size_t targets);
    ~test_cluster();
    test_cluster(test_cluster const&) = delete;
    test_cluster& operator=(test_cluster const&) = delete;

    /// Runs all loops until the condition holds. Fails the test after a bound
    /// that only ends a test which hangs.
    void run_until(std::function<bool()> const& condition);

    /// Runs all loops for a while.
    void run_for(core::duration time);

    /// Sends a request to a host; the answer is filled in as it arrives.
    std::shared_ptr<answer> send(std::size_t host, std::string method,
                                 std::string uri,
                                 net::http_headers headers = {},
                                 std::string body = {});

    /// Sends a request and waits for the answer.
    answer ask(std::size_t host, std::string method, std::string uri,
               net::http_headers headers = {}, std::string body = {});

    /// Index of the host that owns the pool, as host `viewer` sees it.
    std::size_t owner(std::size_t viewer);

    /// A session whose home is the given host.
    std::string session_of(std::size_t host);

    void start_host(std::string const& name);
    /// Ends a host at once: its sockets close, nothing is handed over.
    void kill(std::size_t host);
    void pause(std::size_t host)
    {
        m_hosts[host]->m_is_paused = true;
    }
    void resume(std::size_t host)
    {
        m_hosts[host]->m_is_paused = false;
    }

    /// Runs until every running host has the generation in force and sees
    /// `live` live hosts, itself included.
    void wait_for_agreement(std::uint64_t generation, std::size_t live);

    void set_target_faults(std::size_t target, std::string const& json);
    void set_platform_faults(std::string const& json);
    /// Stores the document as the given generation, as `config apply` would.
    void store(core::configuration document);

    /// How often the targets ran requests with this key, or any request.
    std::uint64_t runs_of_key(std::string const& key) const;
    std::uint64_t runs_of_target(std::size_t target) const;
    std::uint64_t total_runs() const;

    core::configuration& document() noexcept
    {
        return m_document;
    }
    serve::entry_host& host(std::size_t index)
    {
        return *m_hosts[index]->m_host;
    }
    bool is_running(std::size_t index) const
    {
        return m_hosts[index]->m_host != nullptr;
    }
    std::vector<std::unique_ptr<entry_host>>& hosts() noexcept
    {
        return m_hosts;
    }

private:
    bool control(std::uint16_t port, std::string const& method,
                 std::string const& uri, std::string const& body);
    void run_once();
    void list_hosts();
    std::unique_ptr<net::event_loop> m_loop;
    std::unique_ptr<net::http_client> m_client;
    std::unique_ptr<tools::platform_emulator> m_platform;
    std::vector<std::unique_ptr<tools::target_emulator>> m_targets;
    std::vector<std::unique_ptr<entry_host>> m_hosts;
    core::configuration m_document;
    std::uint64_t m_head_revision = 0;
};

} // namespace hawthornspur::test

#endif
