#include "config/document.hpp"
#include <hawthornspur/configuration_builder.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace hawthornspur
{

struct service_builder::state
{
    core::service_config m_config;
};

struct configuration_builder::state
{
    core::configuration m_document;
    std::vector<service_builder> m_services;
    std::vector<core::customer_config> m_customers;
};

namespace
{

std::string method_text(http_method method)
{
    switch (method)
    {
    case http_method::get:
        return "GET";
    case http_method::head:
        return "HEAD";
    case http_method::post:
        return "POST";
    case http_method::put:
        return "PUT";
    case http_method::patch:
        return "PATCH";
    case http_method::remove:
        return "DELETE";
    case http_method::options:
        break;
    }
    return "OPTIONS";
}

/// Replaces a negative duration, which cannot be printed, by the largest one,
/// which the validation refuses as out of range.
core::duration to_printable(core::duration value)
{
    return value < core::duration(0) ? core::duration::max() : value;
}

core::kind_config make_kind(kind_rules const& rules,
                            core::execution_rule execution, bool hedge)
{
    core::kind_config kind;
    kind.m_name = rules.m_name;
    kind.m_method = method_text(rules.m_method);
    kind.m_path_prefix = rules.m_path_prefix;
    kind.m_execution = execution;
    kind.m_deadline = to_printable(rules.m_deadline);
    kind.m_priority = rules.m_priority;
    kind.m_share_declared = rules.m_max_share.has_value();
    if (rules.m_max_share)
    {
        kind.m_max_share = rules.m_max_share->part();
    }
    kind.m_hedge = hedge;
    kind.m_not_run_statuses = rules.m_not_run_statuses;
    kind.m_is_public = rules.m_is_public;
    return kind;
}

core::zone_config& find_or_add_zone(core::configuration& document,
                                    zone_name const& name)
{
    auto const found =
        std::find_if(document.m_zones.begin(), document.m_zones.end(),
                     [&](core::zone_config const& zone)
                     { return zone.m_name == name.text(); });
    // A zone of another builder is added; the validation reports that its
    // delays are missing.
    if (found == document.m_zones.end())
    {
        document.m_zones.push_back({name.text(), {}, {}, {}});
        return document.m_zones.back();
    }
    return *found;
}

} // namespace

zone_name::zone_name(std::string text)
    : m_text(std::move(text))
{
}

service_builder::service_builder(std::shared_ptr<state> s)
    : m_state(std::move(s))
{
}

service_builder& service_builder::add(at_most_once_kind const& kind)
{
    m_state->m_config.m_kinds.push_back(
        make_kind(kind.m_rules, core::execution_rule::at_most_once, false));
    return *this;
}

service_builder& service_builder::add(idempotent_kind const& kind)
{
    m_state->m_config.m_kinds.push_back(make_kind(
        kind.m_rules, core::execution_rule::idempotent, kind.m_hedge));
    return *this;
}

service_builder& service_builder::add(target_declaration const& target)
{
    m_state->m_config.m_targets.push_back(
        {target.m_name, target.m_zone.text(), target.m_address, target.m_port,
         target.m_slots, target.m_max_connections,
         target.m_draining ? core::target_state::draining
                           : core::target_state::active});
    return *this;
}

service_builder& service_builder::set(probe_budget const& budget)
{
    m_state->m_config.m_probe_budget = {to_printable(budget.m_cost_per_second),
                                        to_printable(budget.m_probe_cost),
                                        to_printable(budget.m_connection_cost),
                                        budget.m_path};
    return *this;
}

service_builder& service_builder::set_retry_budget(double ratio, double burst)
{
    m_state->m_config.m_retry_budget = {ratio, burst};
    return *this;
}

service_builder& service_builder::set_max_body_bytes(std::size_t bytes)
{
    m_state->m_config.m_max_body_bytes = bytes;
    return *this;
}

service_builder& service_builder::set_max_answer_bytes(std::size_t bytes)
{
    m_state->m_config.m_max_answer_bytes = bytes;
    return *this;
}

service_builder& service_builder::set_max_queue(std::size_t requests)
{
    m_state->m_config.m_max_queue = requests;
    return *this;
}

service_builder&
service_builder::set_cold_rate(double requests_per_second,
                               std::chrono::milliseconds warm_up)
{
    m_state->m_config.m_cold_rate = requests_per_second;
    m_state->m_config.m_warm_up = to_printable(warm_up);
    return *this;
}

configuration_builder::configuration_builder()
    : m_state(std::make_unique<state>())
{
}

configuration_builder::~configuration_builder() = default;

configuration_builder&
configuration_builder::set_based_on(std::uint64_t generation)
{
    m_state->m_document.m_generation = generation;
    return *this;
}

zone_name configuration_builder::add_zone(std::string name, std::string region)
{
    m_state->m_document.m_zones.push_back({name, std::move(region), {}, {}});
    return zone_name(std::move(name));
}

configuration_builder&
configuration_builder::set_one_way_delay(zone_name const& a, zone_name const& b,
                                         std::chrono::microseconds delay)
{
    auto const printable = to_printable(delay);
    auto& document = m_state->m_document;
    find_or_add_zone(document, a).m_one_way_delay[b.text()] = printable;
    find_or_add_zone(document, b).m_one_way_delay[a.text()] = printable;
    return *this;
}

configuration_builder&
configuration_builder::set_extra_cost(zone_name const& zone,
                                      std::chrono::microseconds cost)
{
    find_or_add_zone(m_state->m_document, zone).m_extra_cost =
        to_printable(cost);
    return *this;
}

configuration_builder&
configuration_builder::set_evacuated(zone_name const& zone)
{
    find_or_add_zone(m_state->m_document, zone).m_is_evacuated = true;
    return *this;
}

configuration_builder&
configuration_builder::add(customer_declaration const& customer)
{
    m_state->m_customers.push_back({customer.m_name, customer.m_access_keys,
                                    customer.m_priority, customer.m_rate,
                                    customer.m_burst});
    return *this;
}

configuration_builder& configuration_builder::set_max_entry_hosts(int hosts)
{
    m_state->m_document.m_max_entry_hosts = hosts;
    return *this;
}

configuration_builder&
configuration_builder::set_address_lifetime(std::chrono::seconds lifetime)
{
    m_state->m_document.m_address_lifetime = to_printable(lifetime);
    return *this;
}

configuration_builder&
configuration_builder::set_key_lifetime(std::chrono::seconds lifetime)
{
    m_state->m_document.m_key_lifetime = to_printable(lifetime);
    return *this;
}

configuration_builder& configuration_builder::set_max_depth(int calls)
{
    m_state->m_document.m_max_depth = calls;
    return *this;
}

service_builder configuration_builder::add_service(std::string name)
{
    service_builder service(std::make_shared<service_builder::state>());
    service.m_state->m_config.m_name = std::move(name);
    m_state->m_services.push_back(service);
    return service;
}

printed_configuration configuration_builder::print() const
{
    auto document = m_state->m_document;
    for (auto const& service : m_state->m_services)
    {
        document.m_services.push_back(service.m_state->m_config);
    }
    if (!m_state->m_customers.empty())
    {
        document.m_customers = core::make_customer_table(m_state->m_customers);
    }
    auto text = config::print_document(document);
    auto const parsed = config::parse_document(text);
    auto const* faults = std::get_if<config::fault_list>(&parsed);
    if (faults == nullptr)
    {
        return text;
    }
    std::vector<configuration_fault> public_faults;
    public_faults.reserve(faults->size());
    for (auto const& fault : *faults)
    {
        public_faults.push_back({fault.m_code, fault.m_path, fault.m_message});
    }
    return public_faults;
}

} // namespace hawthornspur
