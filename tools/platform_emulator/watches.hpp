#ifndef HAWTHORNSPUR_TOOLS_PLATFORM_EMULATOR_WATCHES_HPP
#define HAWTHORNSPUR_TOOLS_PLATFORM_EMULATOR_WATCHES_HPP

#include "common/scheduler.hpp"
#include "net/http_server.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace hawthornspur::tools
{

/// A watch that waits for a revision of its key.
struct waiting_watch
{
    std::string m_key;
    std::uint64_t m_after = 0;
    std::shared_ptr<net::http_exchange> m_exchange;
    task_id m_end = 0;
    /// Never answered any more.
    bool m_silent = false;
};

/// The waiting watches of the store; they must not outlive the scheduler.
struct watch_list
{
    std::map<std::uint64_t, waiting_watch> m_waiting;
    std::uint64_t m_next = 1;
};

/// Calls `on_end` with the exchange when the wait is over without a change.
/// A caller that goes away removes its watch.
void add_watch(watch_list& list, scheduler& tasks, waiting_watch watch,
               core::duration wait,
               std::function<void(std::shared_ptr<net::http_exchange>)> on_end);

/// Removes the watches of the key that wait for a revision below this one,
/// and calls `answer` for each.
void wake_watches(
    watch_list& list, scheduler& tasks, std::string const& key,
    std::uint64_t revision,
    std::function<void(std::shared_ptr<net::http_exchange>)> const& answer);

/// Makes all waiting watches silent for ever.
void silence_watches(watch_list& list);

} // namespace hawthornspur::tools

#endif
