#ifndef HAWTHORNSPUR_TESTS_STORE_FIXTURE_HPP
#define HAWTHORNSPUR_TESTS_STORE_FIXTURE_HPP

#include "memory_store.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "serve/host.hpp"
#include "target_emulator/target_emulator.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornspur::test
{

/// Prefix of the keys that evacuate a zone, followed by its name.
inline constexpr std::string_view evacuation_prefix = "conf/evacuate/";

std::string make_document(std::uint64_t generation = 3);

/// Hosts and a target in one process that share a store.
struct fixture
{
    std::unique_ptr<net::event_loop> m_loop;
    std::unique_ptr<net::http_client> m_client;
    memory_store m_store;
    std::unique_ptr<tools::target_emulator> m_target;
    std::unique_ptr<tools::target_emulator> m_other_target;
    std::vector<std::unique_ptr<store_view>> m_views;
    std::vector<std::unique_ptr<serve::entry_host>> m_hosts;
};

/// Runs the loop until the condition holds; fails the test after 30 s.
void run_until(fixture& fixture_state, std::function<bool()> const& condition);

/// A store with a document and the target "t1" of the zone "a".
std::unique_ptr<fixture> make_fixture();

void start_host(fixture& fixture_state, std::string const& name,
                bool is_refused = false, bool is_delayed = false,
                std::string const& zone = "a");

/// The status of an answer, once it has ended.
using pending_status = std::shared_ptr<std::optional<int>>;

pending_status send(fixture& fixture_state, std::size_t host,
                    net::http_headers const& headers = {
                        {"Hawthornspur-Service", "map"}});

int send_and_wait(fixture& fixture_state, std::size_t host);

} // namespace hawthornspur::test

#endif
