#include "config/sections.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hawthornspur::config
{

namespace
{

/// Bound of rates and bursts; sums over all customers stay exact.
constexpr double max_rate = 1e9;

constexpr std::string_view key_rule =
    "16 to 200 printable ASCII characters without spaces; the digests that "
    "config show prints are not keys";

bool is_access_key(std::string_view text)
{
    constexpr std::size_t min_length = 16;
    constexpr std::size_t max_length = 200;
    return text.size() >= min_length && text.size() <= max_length &&
           std::all_of(text.begin(), text.end(),
                       [](char c) { return c > ' ' && c < '\x7f'; });
}

/// Reads one key. Messages do not contain it, since they are printed and
/// logged.
void read_access_key(object_reader const& reader, nlohmann::json const& entry,
                     std::string path, std::vector<std::string>& out)
{
    // An entry with a fault is added as an empty text, so that the indexes in
    // later faults match the file.
    auto& key = out.emplace_back();
    if (!entry.is_string())
    {
        reader.m_faults->push_back(
            {result_code::wrong_type, std::move(path),
             "the entry is not a text; allowed: " + std::string(key_rule)});
        return;
    }
    auto const& text = entry.get_ref<std::string const&>();
    if (!is_access_key(text))
    {
        reader.m_faults->push_back(
            {result_code::value_out_of_range, std::move(path),
             "found a text of " + std::to_string(text.size()) +
                 " bytes, which is not shown; allowed: " +
                 std::string(key_rule)});
        return;
    }
    key = text;
}

void read_customer(object_reader& reader, core::customer_config& out)
{
    constexpr std::uint64_t lowest_priority = 9;
    constexpr std::size_t max_access_keys = 100;
    read_text(reader, "name", presence::required, name_rule, out.m_name);
    read_integer(reader, "priority", presence::optional, 0, lowest_priority,
                 out.m_priority);
    read_number(reader, "rate", presence::optional, 0, max_rate, out.m_rate);
    read_number(reader, "burst", presence::optional, 0, max_rate, out.m_burst);
    // A key may stand directly in the field or in one with a wrong name.
    reader.m_hides_values = true;
    read_list(reader, "access_keys", presence::required, 0, max_access_keys,
              [&](nlohmann::json const& entry, std::string path) {
                  read_access_key(reader, entry, std::move(path),
                                  out.m_access_keys);
              });
}

nlohmann::ordered_json print_customer(core::customer_config const& customer,
                                      key_form keys)
{
    core::customer_config const defaults;
    nlohmann::ordered_json out;
    out["name"] = customer.m_name;
    auto list = nlohmann::ordered_json::array();
    for (auto const& key : customer.m_access_keys)
    {
        list.push_back(keys == key_form::digest ? key_digest(key) : key);
    }
    out["access_keys"] = std::move(list);
    if (customer.m_priority != defaults.m_priority)
    {
        out["priority"] = customer.m_priority;
    }
    if (customer.m_rate != defaults.m_rate)
    {
        out["rate"] = customer.m_rate;
    }
    if (customer.m_burst != defaults.m_burst)
    {
        out["burst"] = customer.m_burst;
    }
    return out;
}

} // namespace

std::string key_digest(std::string_view key)
{
    constexpr std::size_t digits = 8;
    return content_hash(key).substr(0, digits);
}

void read_customers(object_reader& reader, core::configuration& out)
{
    std::vector<core::customer_config> customers;
    read_objects(reader, "customers", presence::optional, 0, max_customers,
                 read_customer, customers);
    if (!customers.empty())
    {
        out.m_customers = core::make_customer_table(std::move(customers));
    }
}

nlohmann::ordered_json print_customers(core::customer_table const& table,
                                       key_form keys)
{
    auto out = nlohmann::ordered_json::array();
    for (auto const& customer : core::customers(table))
    {
        out.push_back(print_customer(customer, keys));
    }
    return out;
}

} // namespace hawthornspur::config
