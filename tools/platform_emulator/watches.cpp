#include "platform_emulator/watches.hpp"

#include <utility>
#include <vector>

namespace hawthornspur::tools
{

void add_watch(watch_list& list, scheduler& tasks, waiting_watch watch,
               core::duration wait,
               std::function<void(std::shared_ptr<net::http_exchange>)> on_end)
{
    auto const id = list.m_next++;
    watch.m_end = tasks.run_after(
        wait,
        [&list, id, on_end = std::move(on_end)]
        {
            auto const found = list.m_waiting.find(id);
            if (found != list.m_waiting.end() && !found->second.m_silent)
            {
                auto const ended = std::move(found->second);
                list.m_waiting.erase(found);
                on_end(ended.m_exchange);
            }
        });
    watch.m_exchange->set_on_closed(
        [&list, &tasks, id]
        {
            auto const found = list.m_waiting.find(id);
            if (found != list.m_waiting.end())
            {
                tasks.cancel(found->second.m_end);
                list.m_waiting.erase(found);
            }
        });
    list.m_waiting.emplace(id, std::move(watch));
}

void wake_watches(
    watch_list& list, scheduler& tasks, std::string const& key,
    std::uint64_t revision,
    std::function<void(std::shared_ptr<net::http_exchange>)> const& answer)
{
    std::vector<std::shared_ptr<net::http_exchange>> woken;
    for (auto entry = list.m_waiting.begin(); entry != list.m_waiting.end();)
    {
        auto const& watch = entry->second;
        if (watch.m_silent || watch.m_key != key || watch.m_after >= revision)
        {
            ++entry;
            continue;
        }
        tasks.cancel(watch.m_end);
        woken.push_back(watch.m_exchange);
        entry = list.m_waiting.erase(entry);
    }
    for (auto const& exchange : woken)
    {
        answer(exchange);
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
