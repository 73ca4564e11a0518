#ifndef HAWTHORNSPUR_TESTS_MEMORY_STORE_HPP
#define HAWTHORNSPUR_TESTS_MEMORY_STORE_HPP

#include "net/event_loop.hpp"
#include "platform/platform_calls.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace hawthornspur::test
{

/// Key of the configuration, and prefix of the keys of targets.
inline constexpr char const* document_key = "conf/document";
inline constexpr char const* target_prefix = "targets/";

struct store_view;

/// An in-memory store shared by all hosts of a test.
struct memory_store
{
    struct item
    {
        std::string m_value;
        std::uint64_t m_revision = 0;
    };
    struct watch
    {
        std::string m_prefix;
        platform::callback<platform::range_changes> m_on_changes;
        store_view const* m_view = nullptr;
    };
    net::event_loop* m_loop = nullptr;
    std::map<std::string, item> m_items;
    /// Changes since m_history_from, oldest first.
    std::vector<platform::range_event> m_history;
    std::uint64_t m_history_from = 0;
    std::vector<watch> m_watches;
    std::uint64_t m_revision = 1;
    std::uint64_t m_epoch = 1;
    int m_snapshots = 0;
    int m_leases = 0;
};

/// The store as one host can reach it.
struct store_view
{
    memory_store* m_store = nullptr;
    /// Whether this host's reads of the document and the targets fail.
    bool m_is_refused = false;
    /// Reads and watches that this host starts are never answered.
    bool m_is_silent = false;
    /// Reads of this host wait for answer_delayed_reads().
    bool m_is_delayed = false;
    /// Restricts the delay to reads of this prefix.
    std::string m_delayed_prefix;
    std::vector<std::function<void()>> m_delayed_reads;
};

/// Answers the reads that were held back.
void answer_delayed_reads(store_view& view);

void put(memory_store& store, std::string const& key, std::string const& value);
void remove(memory_store& store, std::string const& key);

/// Drops the history and the open watches, as a compaction does.
void lose_history(memory_store& store);

/// Loses the answers of this host's open watches of a range, as a connection
/// does that has become silent.
void drop_watches(memory_store& store, std::string const& prefix,
                  store_view const& view);

/// Brings the store back from `copy`. Open watches fail, as in an outage.
void restore(memory_store& store, memory_store const& copy);

/// The calls of the host that has this view. The view must outlive them.
platform::platform_calls make_calls(store_view& view);

} // namespace hawthornspur::test

#endif
