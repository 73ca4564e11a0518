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

/// A watch that waits until its key exceeds m_after_revision.
struct waiting_watch
{
    std::string m_key;
    std::uint64_t m_after_revision = 0;
    std::shared_ptr<net::http_exchange> m_exchange;
    task_id m_timeout_task = 0;
    /// The watch is never answered.
    bool m_silent = false;
};

/// Waiting watches of the store. The scheduler must outlive the list.
struct watch_list
{
    std::map<std::uint64_t, waiting_watch> m_waiting;
    std::uint64_t m_next_id = 1;
};

/// Adds a watch. If the key does not change within `wait`, the watch is removed
/// and `on_end` is called with its exchange. The watch is also removed when the
/// caller closes the connection.
void add_watch(watch_list& list, scheduler& tasks, waiting_watch watch,
               core::duration wait,
               std::function<void(std::shared_ptr<net::http_exchange>)> on_end);

/// Removes the watches of the key whose m_after_revision is below `revision`
/// and calls `answer` with the exchange of each. Silent watches remain.
void complete_watches(
    watch_list& list, scheduler& tasks, std::string const& key,
    std::uint64_t revision,
    std::function<void(std::shared_ptr<net::http_exchange>)> const& answer);

/// Removes all watches and closes their connections.
void abort_watches(watch_list& list, scheduler& tasks);

/// Marks all waiting watches as silent; this cannot be reverted.
void silence_watches(watch_list& list);

} // namespace hawthornspur::tools

#endif
