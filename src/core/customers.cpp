#include "core/customers.hpp"

#include "core/name_map.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <xxhash.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

namespace hawthornspur::core
{

namespace
{

/// Position of a key in the list of customers.
struct key_entry
{
    std::size_t m_customer = 0;
    std::size_t m_key = 0;
    /// Next entry with the same digest.
    std::optional<std::size_t> m_next;
};

std::uint64_t digest(std::string_view key)
{
    return XXH3_64bits(key.data(), key.size());
}

/// Compares without an early exit, so that the time does not show at which
/// character two keys differ.
bool is_equal(std::string_view a, std::string_view b) noexcept
{
    if (a.size() != b.size())
    {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t i = 0; i < a.size(); ++i)
    {
        difference |=
            static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
    }
    return difference == 0;
}

} // namespace

struct customer_table
{
    std::vector<customer_config> m_customers;
    std::vector<key_entry> m_entries;
    /// The last entry with each digest.
    absl::flat_hash_map<std::uint64_t, std::size_t> m_keys;
    name_map<std::size_t> m_names;
    /// Digests of undecided keys. A right key with the digest of another one is
    /// refused as undecided.
    absl::flat_hash_set<std::uint64_t> m_undecided;
    bool m_may_hold_others = false;
};

namespace
{

key_entry const* find_entry(customer_table const& table, std::string_view key)
{
    auto const found = table.m_keys.find(digest(key));
    auto next = found == table.m_keys.end() ? std::nullopt
                                            : std::optional(found->second);
    while (next)
    {
        auto const& entry = table.m_entries[*next];
        auto const& candidate =
            table.m_customers[entry.m_customer].m_access_keys[entry.m_key];
        if (is_equal(candidate, key))
        {
            return &entry;
        }
        next = entry.m_next;
    }
    return nullptr;
}

/// Indexes all keys, and passes each repeated one to `on_repeated` with the
/// entry that holds it.
template <class OnRepeated>
customer_table index_customers(std::vector<customer_config> customers,
                               OnRepeated const& on_repeated)
{
    customer_table table;
    table.m_customers = std::move(customers);
    for (std::size_t i = 0; i < table.m_customers.size(); ++i)
    {
        auto const& customer = table.m_customers[i];
        table.m_names.try_emplace(customer.m_name, i);
        for (std::size_t j = 0; j < customer.m_access_keys.size(); ++j)
        {
            auto const& key = customer.m_access_keys[j];
            // A request without a key would match an empty one.
            if (key.empty())
            {
                continue;
            }
            if (auto const* first = find_entry(table, key))
            {
                on_repeated(i, j, *first);
                continue;
            }
            auto const [slot, is_new] =
                table.m_keys.try_emplace(digest(key), table.m_entries.size());
            auto const next =
                is_new ? std::nullopt : std::optional(slot->second);
            slot->second = table.m_entries.size();
            table.m_entries.push_back({i, j, next});
        }
    }
    return table;
}

} // namespace

std::vector<repeated_key>
find_repeated_keys(std::vector<customer_config> const& customers)
{
    std::vector<repeated_key> repeated;
    index_customers(
        customers,
        [&](std::size_t customer, std::size_t key, key_entry const& first) {
            repeated.push_back({customer, key, first.m_customer, first.m_key});
        });
    return repeated;
}

customer_table_ptr make_customer_table(std::vector<customer_config> customers,
                                       undecided_keys undecided)
{
    auto table =
        index_customers(std::move(customers),
                        [](std::size_t, std::size_t, key_entry const&) {});
    table.m_may_hold_others = undecided.m_may_be_others;
    for (auto const& key : undecided.m_keys)
    {
        table.m_undecided.insert(digest(key));
    }
    return std::make_shared<customer_table const>(std::move(table));
}

std::vector<customer_config> const&
customers(customer_table const& table) noexcept
{
    return table.m_customers;
}

namespace
{

bool is_listed_as_undecided(customer_table const& table, std::string_view key)
{
    return !table.m_undecided.empty() &&
           table.m_undecided.contains(digest(key));
}

} // namespace

bool is_undecided(customer_table const& table, std::string_view key)
{
    if (key.empty())
    {
        // Without any customer, the unread entries may not be customers.
        return table.m_may_hold_others && table.m_customers.empty();
    }
    return is_listed_as_undecided(table, key) ||
           (table.m_may_hold_others && find_entry(table, key) == nullptr);
}

customer_config const* find_customer_by_key(customer_table const& table,
                                            std::string_view key)
{
    if (is_listed_as_undecided(table, key))
    {
        return nullptr;
    }
    auto const* entry = find_entry(table, key);
    return entry == nullptr ? nullptr : &table.m_customers[entry->m_customer];
}

customer_config const* find_customer(customer_table const& table,
                                     std::string_view name)
{
    auto const found = table.m_names.find(name);
    return found == table.m_names.end() ? nullptr
                                        : &table.m_customers[found->second];
}

} // namespace hawthornspur::core
