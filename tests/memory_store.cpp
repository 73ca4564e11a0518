#include "memory_store.hpp"

#include <utility>

namespace hawthornspur::test
{

namespace
{

void answer_watches(memory_store& store, std::string const& key,
                    std::optional<std::string> const& value)
{
    std::vector<memory_store::watch> other_watches;
    for (auto& watch : store.m_watches)
    {
        if (!key.starts_with(watch.m_prefix))
        {
            other_watches.push_back(std::move(watch));
            continue;
        }
        platform::range_changes changes;
        changes.m_events = {{key, value, store.m_revision}};
        changes.m_store_revision = store.m_revision;
        changes.m_epoch = store.m_epoch;
        store.m_loop->post([done = watch.m_on_changes, changes]
                           { done(changes); });
    }
    store.m_watches = std::move(other_watches);
}

platform::stored_range read_range(memory_store& store,
                                  std::string const& prefix)
{
    platform::stored_range range;
    range.m_store_revision = store.m_revision;
    range.m_epoch = store.m_epoch;
    for (auto const& [key, item] : store.m_items)
    {
        if (key.starts_with(prefix))
        {
            range.m_items.push_back({key, item.m_value, item.m_revision});
        }
    }
    return range;
}

} // namespace

void answer_delayed_reads(store_view& view)
{
    view.m_is_delayed = false;
    for (auto const& read : std::exchange(view.m_delayed_reads, {}))
    {
        read();
    }
}

void put(memory_store& store, std::string const& key, std::string const& value)
{
    store.m_items[key] = {value, ++store.m_revision};
    store.m_history.push_back({key, value, store.m_revision});
    answer_watches(store, key, value);
}

void remove(memory_store& store, std::string const& key)
{
    store.m_items.erase(key);
    ++store.m_revision;
    store.m_history.push_back({key, std::nullopt, store.m_revision});
    answer_watches(store, key, std::nullopt);
}

void lose_history(memory_store& store)
{
    store.m_history.clear();
    store.m_history_from = store.m_revision;
    for (auto const& watch : std::exchange(store.m_watches, {}))
    {
        store.m_loop->post(
            [done = watch.m_on_changes]
            { done(make_error(result_code::history_lost, "compacted")); });
    }
}

void drop_watches(memory_store& store, std::string const& prefix,
                  store_view const& view)
{
    std::erase_if(store.m_watches,
                  [&](memory_store::watch const& watch) {
                      return watch.m_prefix == prefix && watch.m_view == &view;
                  });
}

void restore(memory_store& store, memory_store const& copy)
{
    store.m_items = copy.m_items;
    store.m_history = copy.m_history;
    store.m_revision = copy.m_revision;
    ++store.m_epoch;
    for (auto const& watch : std::exchange(store.m_watches, {}))
    {
        store.m_loop->post(
            [done = watch.m_on_changes]
            { done(make_error(result_code::store_unavailable, "restored")); });
    }
}

platform::platform_calls make_calls(store_view& view)
{
    auto& store = *view.m_store;
    platform::platform_calls calls;
    calls.m_create_lease =
        [&store](core::duration, platform::callback<std::string> done)
    {
        ++store.m_leases;
        store.m_loop->post([done] { done(std::string("1")); });
    };
    calls.m_renew_lease =
        [&store](std::string const&, platform::callback<std::monostate> done)
    {
        store.m_loop->post([done] { done(std::monostate{}); });
    };
    calls.m_put_leased = [&store](std::string const& key,
                                  std::string const& value, std::string const&,
                                  platform::callback<std::uint64_t> done)
    {
        put(store, key, value);
        store.m_loop->post([done, revision = store.m_revision]
                           { done(revision); });
    };
    calls.m_get_range =
        [&view, &store](std::string const& prefix, platform::freshness,
                        platform::callback<platform::stored_range> done)
    {
        if (view.m_is_silent)
        {
            return;
        }
        if (view.m_is_refused && (prefix == target_prefix || prefix == "conf/"))
        {
            store.m_loop->post(
                [done] {
                    done(make_error(result_code::store_unavailable, "refused"));
                });
            return;
        }
        store.m_snapshots += prefix == target_prefix ? 1 : 0;
        auto answer = [&store, done, prefix]
        {
            store.m_loop->post([done, range = read_range(store, prefix)]
                               { done(range); });
        };
        if (view.m_is_delayed && prefix.starts_with(view.m_delayed_prefix))
        {
            view.m_delayed_reads.push_back(std::move(answer));
            return;
        }
        answer();
    };
    calls.m_watch_range =
        [&view, &store](std::string const& prefix, std::uint64_t after,
                        core::duration wait,
                        platform::callback<platform::range_changes> done)
    {
        if (view.m_is_silent)
        {
            return;
        }
        platform::range_changes changes;
        changes.m_store_revision = store.m_revision;
        changes.m_epoch = store.m_epoch;
        if (after < store.m_history_from || after > store.m_revision)
        {
            store.m_loop->post(
                [done]
                { done(make_error(result_code::history_lost, "compacted")); });
            return;
        }
        for (auto const& event : store.m_history)
        {
            if (event.m_revision > after && event.m_key.starts_with(prefix))
            {
                changes.m_events.push_back(event);
            }
        }
        if (changes.m_events.empty() && wait > std::chrono::seconds(1))
        {
            store.m_watches.push_back({prefix, std::move(done), &view});
            return;
        }
        store.m_loop->post([done, changes] { done(changes); });
    };
    return calls;
}

} // namespace hawthornspur::test
