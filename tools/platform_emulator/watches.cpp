#include "platform_emulator/watches.hpp"

#include <utility>
#include <vector>

namespace hawthornspur::tools
{

void add_watch(watch_list& list, scheduler& tasks, waiting_watch watch,
               core::duration wait,
               std::function<void(std::shared_ptr<net::http_exchange>)> on_end)
{
    auto const id = list.m_next_id++;
    watch.m_timeout_task = tasks.run_after(
        wait,
        [&list, id, on_end = std::move(on_end)]
        {
            auto const found = list.m_waiting.find(id);
            if (found != list.m_waiting.end() && !found->second.m_silent)
            {
                auto const expired = std::move(found->second);
                list.m_waiting.erase(found);
                on_end(expired.m_exchange);
            }
        });
    watch.m_exchange->set_on_closed(
        [&list, &tasks, id]
        {
            auto const found = list.m_waiting.find(id);
            if (found != list.m_waiting.end())
            {
                tasks.cancel(found->second.m_timeout_task);
                list.m_waiting.erase(found);
            }
        });
    list.m_waiting.emplace(id, std::move(watch));
}

void complete_watches(
    watch_list& list, scheduler& tasks, std::string const& key,
    std::uint64_t revision,
    std::function<void(std::shared_ptr<net::http_exchange>)> const& answer)
{
    std::vector<std::shared_ptr<net::http_exchange>> completed;
    for (auto entry = list.m_waiting.begin(); entry != list.m_waiting.end();)
    {
        auto const& watch = entry->second;
        if (watch.m_silent || watch.m_key != key ||
            watch.m_after_revision >= revision)
        {
            ++entry;
            continue;
        }
        tasks.cancel(watch.m_timeout_task);
        completed.push_back(watch.m_exchange);
        entry = list.m_waiting.erase(entry);
    }
    for (auto const& exchange : completed)
    {
        answer(exchange);
    }
}

void abort_watches(watch_list& list, scheduler& tasks)
{
    for (auto const& [id, watch] : std::exchange(list.m_waiting, {}))
    {
        tasks.cancel(watch.m_timeout_task);
        watch.m_exchange->abort();
    }
}

void silence_watches(watch_list& list)
{
    for (auto& [id, watch] : list.m_waiting)
    {
        watch.m_silent = true;
    }
}

} // namespace hawthornspur::tools
