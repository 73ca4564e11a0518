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

/// An entry host with its own event loop, which allows a test to pause or kill
/// it while the other hosts run.
struct entry_host
{
    std::string m_name;
    std::unique_ptr<net::event_loop> m_loop;
    std::unique_ptr<serve::entry_host> m_host;
    bool m_is_paused = false;
};

/// An answer as received by a caller.
struct answer
{
    bool m_is_done = false;
    net::exchange_outcome m_outcome = net::exchange_outcome::closed;
    net::http_response_head m_head;
    std::string m_body;
};

/// Returns the value of Hawthornspur-Code, or 0 when the header is missing.
unsigned get_result_code(answer const& a);
/// Returns the value of Hawthornspur-Outcome, empty when it is missing.
std::string get_outcome(answer const& a);

/// Entry hosts, targets and the platform in one process. Their event loops run
/// in turn; no result depends on the speed of the machine.
class test_cluster
{
public:
    /// Starts `hosts` entry hosts and `targets` targets of the service "map",
    /// all in zone "a", and waits until generation 1 is in force on every host.
    test_cluster(std::size_t hosts, std::size_t targets);
    ~test_cluster();
    test_cluster(test_cluster const&) = delete;
    test_cluster& operator=(test_cluster const&) = delete;

    /// Runs all loops until the condition holds. Throws std::runtime_error if
    /// it does not hold within 30 s.
    void run_until(std::function<bool()> const& condition);

    /// Runs all loops for the given time.
    void run_for(core::duration time);

    /// Sends a request to the host with this index, or to the emulator on this
    /// port. The answer is filled in as it arrives.
    std::shared_ptr<answer> send(std::size_t host, std::string method,
                                 std::string uri,
                                 net::http_headers headers = {},
                                 std::string body = {});

    /// Like send(), but runs the loops until the answer has ended.
    answer send_and_wait(std::size_t host, std::string method, std::string uri,
                         net::http_headers headers = {}, std::string body = {});

    /// Returns the index of the pool's owner in the view of host `viewer`.
    std::size_t find_owner(std::size_t viewer);

    /// Returns a session whose home is the given host.
    std::string make_session(std::size_t host);

    void start_host(std::string const& name, std::string const& zone = "a");
    /// Destroys a host: its sockets close and no pool is handed over.
    void kill(std::size_t host);
    void pause(std::size_t host)
    {
        m_hosts[host]->m_is_paused = true;
    }
    void resume(std::size_t host)
    {
        m_hosts[host]->m_is_paused = false;
    }

    /// Runs until every running host has the generation in force and counts
    /// `live` live hosts, itself included.
    void wait_for_agreement(std::uint64_t generation, std::size_t live);

    void set_target_faults(std::size_t target, std::string const& json);
    void set_platform_faults(std::string const& json);
    /// Writes the document and its generation to the store, in the format of
    /// `config apply`.
    void store_configuration(core::configuration document);

    /// Applies the document as `config apply` does, as a change to the stored
    /// generation, and returns the new generation.
    std::uint64_t apply_configuration(core::configuration document);

    /// Brings the platform's store back from its state of `age` ago.
    void restore_store(std::chrono::milliseconds age);

    /// Number of requests that the targets ran: with this key, at one target,
    /// or in total.
    std::uint64_t key_run_count(std::string const& key) const;
    std::uint64_t target_run_count(std::size_t target) const;
    std::uint64_t total_run_count() const;

    /// Number of runs of deadly requests that began, and of crashes, at all
    /// targets.
    std::size_t deadly_run_count() const;
    std::size_t crash_count() const;

    tools::target_emulator& target(std::size_t index)
    {
        return *m_targets[index];
    }
    std::size_t target_count() const noexcept
    {
        return m_targets.size();
    }

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
    bool send_control_request(std::uint16_t port, std::string const& method,
                              std::string const& uri, std::string const& body);
    void run_once();
    void publish_host_list();
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
