#ifndef HAWTHORNSPUR_CORE_CUSTOMERS_HPP
#define HAWTHORNSPUR_CORE_CUSTOMERS_HPP

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornspur::core
{

/// A customer of the operators. Its requests bear one of its access keys.
struct customer_config
{
    std::string m_name;
    std::vector<std::string> m_access_keys;
    /// 0 is the most urgent. Precedes the priority of the kind. Pools do not
    /// distinguish the values from max_customer_priority on.
    int m_priority = 4;
    /// Limit over all hosts together, in requests per second; 0 means none.
    double m_rate = 0;
    /// Requests that may exceed the rate at once.
    double m_burst = 0;
};

/// The customers of a document with an index of their keys. Immutable, so that
/// all copies of a document share one table.
struct customer_table;
using customer_table_ptr = std::shared_ptr<customer_table const>;

/// A key that two entries of the list hold.
struct repeated_key
{
    std::size_t m_customer = 0;
    std::size_t m_key = 0;
    std::size_t m_first_customer = 0;
    std::size_t m_first_key = 0;
};

/// All keys that occur earlier in the list, with the positions of both.
std::vector<repeated_key>
find_repeated_keys(std::vector<customer_config> const& customers);

/// Keys of which a document does not tell who holds them, because an entry of
/// it could not be read.
struct undecided_keys
{
    std::vector<std::string> m_keys;
    /// There may be others than m_keys.
    bool m_may_be_others = false;
};

/// Of customers with the same key, the first one gets it. Empty keys are
/// ignored, since a request without a key would match them.
customer_table_ptr make_customer_table(std::vector<customer_config> customers,
                                       undecided_keys undecided = {});

std::vector<customer_config> const&
customers(customer_table const& table) noexcept;

/// Whether the document does not tell if the key may be used. Such a key is
/// neither right nor wrong. An empty key stands for a request without one.
bool is_undecided(customer_table const& table, std::string_view key);

/// Returns the customer that holds the key, or null also if is_undecided().
/// Takes constant expected time, and the time does not depend on how much of a
/// key is right.
customer_config const* find_customer_by_key(customer_table const& table,
                                            std::string_view key);

/// Returns the customer with this name, or null.
customer_config const* find_customer(customer_table const& table,
                                     std::string_view name);

} // namespace hawthornspur::core

#endif
